package external

import "fmt"

// UnsettledError is the error of an append with an unknown outcome: it may have taken effect or may still do so.
type UnsettledError struct {
	// Stream is the name of the log stream.
	Stream string
	// Cause is the error because of which the response was not received.
	Cause error
}

// Error returns a message with the stream and the cause.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("append to stream %s is unsettled: %v", e.Stream, e.Cause)
}

// Unwrap returns Cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// UnavailableError is the error of a request that had no effect on an external system, because it did not reach the
// system or because it was a read whose response was lost.
type UnavailableError struct {
	// System identifies the external system, for example "log" or a target's name.
	System string
	// Cause is the underlying error.
	Cause error
}

// Error returns a message with the system and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.System, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// CrashedError is the error of a request that failed after the target may have begun to run it, for example because the
// connection was lost, the deadline passed or the response was invalid.
type CrashedError struct {
	// Target is the name of the target or other external system.
	Target string
	// Cause is the underlying error.
	Cause error
}

// Error returns a message with the target and the cause.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("target %s broke off the request: %v", e.Target, e.Cause)
}

// Unwrap returns Cause.
func (e *CrashedError) Unwrap() error { return e.Cause }

// RejectedError is the error of a request that a target or another external system refused without running it.
type RejectedError struct {
	// Target is the name of the target or other external system.
	Target string
	// Status is the HTTP status code of the refusal.
	Status int
	// Reason is the text that the target gave.
	Reason string
}

// Error returns a message with the target, the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("target %s rejected the request with status %d: %s", e.Target, e.Status, e.Reason)
}
