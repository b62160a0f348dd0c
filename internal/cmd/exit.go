package cmd

import (
	"context"
	"errors"
	"net"

	"github.com/chicorydale/chicorydale/internal/fault"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// Exit codes, as docs/cli.md documents them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitStale       = 4
	exitUnreachable = 5
)

// usageError is the error of a command whose flags do not fit together.
type usageError struct {
	problem string
}

// Error returns the problem.
func (e *usageError) Error() string { return e.problem }

// exitCode returns the exit code of a command that ended with an error.
func exitCode(err error) int {
	var usage *usageError
	var answer *oas.RefusalStatusCode
	var refused *client.Refusal
	var faults *fault.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &answer):
		return refusalCode(answer.Response.Code)
	case errors.As(err, &refused):
		return refusalCode(refused.Code)
	case errors.As(err, &faults):
		return exitFailed
	case unreachable(err):
		return exitUnreachable
	default:
		return exitFailed
	}
}

// refusalCode returns the exit code of a refusal.
func refusalCode(code string) int {
	if code == string(refusal.StaleChange) {
		return exitStale
	}
	return exitRefused
}

// unreachable reports whether an error says that no router answered.
func unreachable(err error) bool {
	var broken *client.InterruptedError
	if errors.As(err, &broken) {
		return false
	}
	var none *client.UnreachableError
	var operation *net.OpError
	return errors.As(err, &none) || errors.As(err, &operation) || errors.Is(err, context.DeadlineExceeded)
}
