// Command soak runs real router processes under faults from outside and checks what callers and targets see. CONTRIBUTING.md tells how to use it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/soak"
)

func main() {
	app := kingpin.New("soak", "Run router processes under faults and check what callers and targets see.")
	var options soak.Options
	app.Flag("binary", "Router program.").Default("bin/chicorydale").StringVar(&options.Binary)
	app.Flag("seed", "Seed of the first schedule.").Default("1").Uint64Var(&options.Seed)
	app.Flag("routers", "Number of routers.").Default("3").IntVar(&options.Routers)
	app.Flag("length", "Length of a schedule.").Default("20s").DurationVar(&options.Until)
	seeds := app.Flag("seeds", "Number of schedules, with consecutive seeds.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := false
	for range *seeds {
		report, err := soak.Run(ctx, options)
		fmt.Printf("seed %d\n%v", options.Seed, report)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		failed = failed || err != nil || len(report.Violations) > 0
		options.Seed++
	}
	if failed {
		stop()
		os.Exit(1) //nolint:gocritic // The deferred stop has been called above.
	}
}
