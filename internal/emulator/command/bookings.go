package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

// bookingsBytes bounds the list of executions that is read.
const bookingsBytes = 64 << 20

// addBookings adds the flags of the sub-command bookings.
func addBookings(cmd *kingpin.CmdClause) action {
	service := cmd.Flag("service", "Address of the replica.").Required().String()
	key := cmd.Flag("key", "Idempotency key.").Required().String()
	return func(ctx context.Context, stdout io.Writer) error {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		request := transport.Request{System: "service", Method: http.MethodGet, Address: *service, Path: "/bookings"}
		var bookings serviceserver.BookingList
		if err := transport.New().DoReadOnlyJSON(ctx, request, bookingsBytes, &bookings); err != nil {
			return err
		}
		_, err := fmt.Fprintln(stdout, bookings.CountByKey[*key])
		return err
	}
}
