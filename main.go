// Command chicorydale runs a router of the fleet, and is the command line of its operators.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/cmd"
	"github.com/chicorydale/chicorydale/internal/router"
	"github.com/chicorydale/chicorydale/internal/settings"
	"github.com/chicorydale/chicorydale/platform"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], cmd.Programs{RunRouter: serve, RunGateway: platform.RunGateway}))
}

// serve runs a router that logs to standard error.
func serve(ctx context.Context, s settings.Settings) error {
	logger := zerolog.New(os.Stderr).Level(s.LogLevel()).With().Timestamp().Str("host", s.Host()).Logger()
	return router.New(s, router.NewAdapters(s), logger).Run(ctx)
}
