package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/storeserver"
)

// addStore adds the flags of the sub-command store, which runs the platform's store.
func addStore(cmd *kingpin.CmdClause) action {
	server := addServerFlags(cmd, "store")
	return func(ctx context.Context, stdout io.Writer) error {
		return server.serve(ctx, stdout, storeserver.New())
	}
}
