package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/logserver"
)

// addLog adds the flags of the sub-command log, which runs a log service.
func addLog(cmd *kingpin.CmdClause) action {
	server := addServerFlags(cmd, "log")
	rate := cmd.Flag("rate", "Maximum number of appends per second.").Default("500").Int()
	retention := cmd.Flag("retention", "Age at which records expire.").Default("2h").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return server.serve(ctx, stdout, logserver.New(logserver.WithAppendRate(*rate), logserver.WithRetention(*retention)))
	}
}
