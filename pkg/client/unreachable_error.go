package client

import "fmt"

// UnreachableError is the error of a call for which no router could be connected to; the call did not run.
type UnreachableError struct {
	// Cause is the error of the last address.
	Cause error
}

// Error describes the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no router can be reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
