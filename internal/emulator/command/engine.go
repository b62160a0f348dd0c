package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/engineserver"
)

// addEngine adds the flags of the sub-command engine, which runs a model engine.
func addEngine(cmd *kingpin.CmdClause) action {
	server := addTargetFlags(cmd, "engine", 8)
	tokenInterval := cmd.Flag("interval", "Time between two tokens of a request.").Default("20ms").Duration()
	streamRetention := cmd.Flag("keep", "Time for which ended streams can be resumed.").Default("1m").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return server.serve(ctx, stdout, engineserver.New(server.host.Slots, *tokenInterval,
			engineserver.WithStreamRetention(*streamRetention), engineserver.WithReportLag(server.reportLag),
			engineserver.WithCrashWord(server.crashWord, exitAsCrashed)))
	}
}
