package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// maxBookingsBytes bounds the size of the list of bookings that a target returns.
const maxBookingsBytes = 64 << 20

// addBookings adds the flags of the sub-command bookings, which prints the number of bookings with a key.
func addBookings(cmd *kingpin.CmdClause) action {
	service := cmd.Flag("service", "Address of the target.").Required().String()
	key := cmd.Flag("key", "Idempotency key.").Required().String()
	return func(ctx context.Context, stdout io.Writer) error {
		ctx, cancel := context.WithTimeout(ctx, clientTimeout)
		defer cancel()
		request := transport.Request{System: "service", Method: http.MethodGet, Address: *service, Path: "/bookings"}
		var bookings serviceserver.BookingList
		if err := transport.New().DoReadOnlyJSON(ctx, request, maxBookingsBytes, &bookings); err != nil {
			return err
		}
		_, err := fmt.Fprintln(stdout, bookings.CountByKey[*key])
		return err
	}
}
