package client

import "fmt"

// InterruptedError is the error of a call that broke off and could not be resumed; it may have run.
type InterruptedError struct {
	// NextIndex is the index of the first token that did not arrive, zero for a call of a service.
	NextIndex int64
	// Cause is the error of the last connection.
	Cause error
}

// Error describes the cause.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("the call broke off before token %d: %v", e.NextIndex, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }
