package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
)

// addHosts adds the flags of the sub-command hosts.
func addHosts(cmd *kingpin.CmdClause) action {
	process := addProcess(cmd, "hosts")
	lag := cmd.Flag("lag", "Time after which a change shows.").Default("1s").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return process.run(ctx, stdout, hostserver.New(hostserver.WithLag(*lag)))
	}
}
