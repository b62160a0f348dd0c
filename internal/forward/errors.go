package forward

import "fmt"

// UnsentError is the failure of an attempt of which the target received nothing.
type UnsentError struct {
	// Target is the name of the target.
	Target string
	// Cause is the underlying error.
	Cause error
}

// Error describes the failure.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("target %s was not reached: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// OutcomeUnknownError is the failure of an attempt that the target may have run.
type OutcomeUnknownError struct {
	// Target is the name of the target.
	Target string
	// Cause is the underlying error.
	Cause error
}

// Error describes the failure.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("target %s broke off the request: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// UnmatchedResponsesError says that a connection carried answers to other requests only.
type UnmatchedResponsesError struct {
	// Count is the number of foreign answers.
	Count int
}

// Error describes the failure.
func (e *UnmatchedResponsesError) Error() string {
	return fmt.Sprintf("%d answers on the connection belong to other requests", e.Count)
}
