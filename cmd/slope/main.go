// Command slope measures the resource use of routers at several fleet sizes and loads. See docs/CAPACITY.md for how to
// read its table.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/capacity"
)

func main() {
	app := kingpin.New("slope", "Measure the resource use of routers at several sizes.")
	binary := app.Flag("binary", "Router program.").Default("bin/chicorydale").String()
	period := app.Flag("period", "Time over which each size is measured.").Default("8s").Duration()
	path := app.Flag("json", "Write the figures to this file as JSON too.").String()
	series := app.Arg("series", "Series to measure; all series if none is given.").Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	measured, err := capacity.Bench{Binary: *binary, PointDuration: *period}.Run(ctx, *series)
	if writeErr := capacity.WriteTables(os.Stdout, measured); err == nil {
		err = writeErr
	}
	if err == nil && *path != "" {
		err = writeJSON(*path, measured)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		stop()
		os.Exit(1) //nolint:gocritic // The deferred stop has been called above.
	}
}

// writeJSON writes the measured series to a file as JSON.
func writeJSON(path string, measured []capacity.Series) error {
	encoded, err := json.MarshalIndent(measured, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, 0o600)
}
