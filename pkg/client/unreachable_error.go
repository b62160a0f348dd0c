package client

import "fmt"

// UnreachableError is the error of a call whose last attempt found no router to connect to. A call without an idempotency
// key did not run.
type UnreachableError struct {
	// Cause is the error of the last connection attempt.
	Cause error
}

// Error returns a message with the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no router is reachable: %v", e.Cause)
}

// Unwrap returns Cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
