package cmd

import (
	"context"
	"errors"
	"net"

	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/validation"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// Exit codes, which docs/cli.md documents.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitStaleChange = 4
	exitUnreachable = 5
)

// usageError is the error of a command with invalid or conflicting flags.
type usageError struct {
	problem string
}

// Error returns the problem with the flags.
func (e *usageError) Error() string { return e.problem }

// exitCode returns the exit code for the error of a command, which may be nil.
func exitCode(err error) int {
	var usage *usageError
	var apiRefusal *oas.RefusalStatusCode
	var clientRefusal *client.Refusal
	var faults *validation.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &apiRefusal):
		return refusalExitCode(apiRefusal.Response.Code)
	case errors.As(err, &clientRefusal):
		return refusalExitCode(clientRefusal.Code)
	case errors.As(err, &faults):
		return exitFailed
	case isUnreachable(err):
		return exitUnreachable
	default:
		return exitFailed
	}
}

// refusalExitCode returns the exit code for the code of a refusal. A stale change has an exit code of its own.
func refusalExitCode(code string) int {
	if code == string(refusal.StaleChange) {
		return exitStaleChange
	}
	return exitRefused
}

// isUnreachable reports whether an error means that no router could be reached or answered in time. A call that broke off
// does not count as such, although its cause may be a network error: it may have run.
func isUnreachable(err error) bool {
	var brokenErr *client.InterruptedError
	if errors.As(err, &brokenErr) {
		return false
	}
	var unreachableErr *client.UnreachableError
	var opErr *net.OpError
	return errors.As(err, &unreachableErr) || errors.As(err, &opErr) || errors.Is(err, context.DeadlineExceeded)
}
