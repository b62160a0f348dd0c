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

// addService adds the flags of the sub-command service.
func addService(cmd *kingpin.CmdClause) action {
	process := addTarget(cmd, "service", 4)
	work := cmd.Flag("work", "Time that an operation takes.").Default("5ms").Duration()
	fencing := cmd.Flag("fencing", "Refuse old fences.").Bool()
	ledger := cmd.Flag("ledger", "File that keeps the bookings over restarts.").String()
	return func(ctx context.Context, stdout io.Writer) error {
		opts := []serviceserver.Option{
			serviceserver.WithSlots(process.host.Slots), serviceserver.WithOperationDuration(*work),
			serviceserver.WithReportLag(process.lag), serviceserver.WithCrashWord(process.crashWord, crash),
		}
		if *fencing {
			process.host.Fenced = true
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
			opts = append(opts, serviceserver.WithBookings(earlier), serviceserver.WithLedger(file))
		}
		return process.run(ctx, stdout, serviceserver.New(opts...))
	}
}

// readLedger returns the bookings of a ledger.
func readLedger(r io.Reader) ([]serviceserver.Booking, error) {
	bookings := []serviceserver.Booking{}
	lines := json.NewDecoder(r)
	for {
		var booking serviceserver.Booking
		if err := lines.Decode(&booking); errors.Is(err, io.EOF) {
			return bookings, nil
		} else if err != nil {
			return nil, err
		}
		bookings = append(bookings, booking)
	}
}
