package client

import "fmt"

// InterruptedError is the error of a call that was interrupted and could not be resumed or repeated; it may have run.
type InterruptedError struct {
	// NextIndex is the index of the first token that was not received, zero for an invocation.
	NextIndex int64
	// Cause is the error of the last connection or its last refusal.
	Cause error
}

// Error returns a message with the next token index and the cause.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("the call was interrupted before token %d: %v", e.NextIndex, e.Cause)
}

// Unwrap returns Cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }
