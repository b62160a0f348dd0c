package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/engineserver"
)

// addEngine adds the flags of the sub-command engine.
func addEngine(cmd *kingpin.CmdClause) action {
	process := addTarget(cmd, "engine", 8)
	interval := cmd.Flag("interval", "Time between two tokens of a request.").Default("20ms").Duration()
	keep := cmd.Flag("keep", "Time for which ended streams can be resumed.").Default("1m").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return process.run(ctx, stdout, engineserver.New(process.host.Slots, *interval,
			engineserver.WithStreamRetention(*keep), engineserver.WithReportLag(process.lag),
			engineserver.WithCrashWord(process.crashWord, crash)))
	}
}
