package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
)

// addHosts adds the flags of the sub-command hosts, which runs a host list.
func addHosts(cmd *kingpin.CmdClause) action {
	server := addServerFlags(cmd, "hosts")
	lag := cmd.Flag("lag", "Time after which a change appears in the list.").Default("1s").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		return server.serve(ctx, stdout, hostserver.New(hostserver.WithLag(*lag)))
	}
}
