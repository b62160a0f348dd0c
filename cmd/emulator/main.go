// Command emulator runs emulators of the systems that chicorydale depends on. Package command parses its arguments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chicorydale/chicorydale/internal/emulator/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
