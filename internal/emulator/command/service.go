package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
)

// addService adds the flags of the sub-command service, which runs a target of a plain service.
func addService(cmd *kingpin.CmdClause) action {
	server := addTargetFlags(cmd, "service", 4)
	operationDuration := cmd.Flag("work", "Time that an operation takes.").Default("5ms").Duration()
	fencing := cmd.Flag("fencing", "Reject calls with an outdated fencing number.").Bool()
	ledger := cmd.Flag("ledger", "File that keeps the bookings across restarts.").String()
	return func(ctx context.Context, stdout io.Writer) error {
		opts := []serviceserver.Option{
			serviceserver.WithSlots(server.host.Slots), serviceserver.WithOperationDuration(*operationDuration),
			serviceserver.WithReportLag(server.reportLag), serviceserver.WithCrashWord(server.crashWord, exitAsCrashed),
		}
		if *fencing {
			server.host.Fenced = true
			opts = append(opts, serviceserver.WithFencing())
		}
		if *ledger != "" {
			file, err := os.OpenFile(*ledger, os.O_RDWR|os.O_APPEND|os.O_CREATE, 0o600)
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			earlier, err := readLedger(file)
			if err != nil {
				return err
			}
			opts = append(opts, serviceserver.WithInitialBookings(earlier), serviceserver.WithLedger(file))
		}
		return server.serve(ctx, stdout, serviceserver.New(opts...))
	}
}

// readLedger returns the bookings in a ledger, a file with one JSON object for each booking.
func readLedger(r io.Reader) ([]serviceserver.Booking, error) {
	bookings := []serviceserver.Booking{}
	decoder := json.NewDecoder(r)
	for {
		var booking serviceserver.Booking
		if err := decoder.Decode(&booking); errors.Is(err, io.EOF) {
			return bookings, nil
		} else if err != nil {
			return nil, err
		}
		bookings = append(bookings, booking)
	}
}
