package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/logserver"
)

// addLog adds the flags of the sub-command log.
func addLog(cmd *kingpin.CmdClause) action {
	process := addProcess(cmd, "log")
	rate := cmd.Flag("rate", "Appends a second.").Default("500").Int()
	retention := cmd.Flag("retention", "Age at which records expire.").Default("2h").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return process.run(ctx, stdout, logserver.New(logserver.WithAppendRate(*rate), logserver.WithRetention(*retention)))
	}
}
