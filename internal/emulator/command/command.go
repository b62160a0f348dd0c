package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// action runs a sub-command.
type action func(ctx context.Context, stdout io.Writer) error

// Run runs the sub-command that args name and returns the exit status. A request for help ends the process.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("emulator", "Emulates the systems outside of chicorydale.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	actions := map[string]action{
		"log":      addLog(app.Command("log", "Run a log service.")),
		"hosts":    addHosts(app.Command("hosts", "Run a host list.")),
		"register": addRegister(app.Command("register", "Change one entry of a host list.")),
		"bookings": addBookings(app.Command("bookings", "Print how often a key ran at a target of a plain service.")),
		"engine":   addEngine(app.Command("engine", "Run a model engine.")),
		"service":  addService(app.Command("service", "Run a target of a plain service.")),
		"store":    addStore(app.Command("store", "Run the platform's store.")),
		"put":      addPut(app.Command("put", "Write one record to the platform's store.")),
		"replica":  addReplica(app.Command("replica", "Run a target of the platform.")),
	}
	name, err := app.Parse(args)
	if err == nil {
		err = actions[name](ctx, stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator: %v\n", err)
		return 1
	}
	return 0
}
