package forward

import (
	"fmt"
	"time"
)

// UnsentError reports an attempt that failed before the target received any part of the request.
type UnsentError struct {
	// Target is the name of the target.
	Target string
	// Cause is the underlying error.
	Cause error
}

// Error returns the name of the target and the cause.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("request to target %s was not sent: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LateDialError reports that a connection to a target was not opened in time because this process got too little processor time. It says
// nothing about the target.
type LateDialError struct {
	// Delay is the time from the timeout of the dial to the moment at which the process learned of it.
	Delay time.Duration
	// Cause is the underlying error.
	Cause error
}

// Error returns the delay and the cause.
func (e *LateDialError) Error() string {
	return fmt.Sprintf("the process was %v late to see an answer: %v", e.Delay, e.Cause)
}

// Unwrap returns the cause.
func (e *LateDialError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports an attempt that failed after the target may have received and run the request.
type OutcomeUnknownError struct {
	// Target is the name of the target.
	Target string
	// Cause is the underlying error.
	Cause error
}

// Error returns the name of the target and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("request to target %s failed after it was sent: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// InvalidStatusError reports a response whose status is none of HTTP.
type InvalidStatusError struct {
	// Status is the status of the response.
	Status int
}

// Error returns the status.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the response has the status %d, which is not valid", e.Status)
}

// ResetError reports a response without a length whose connection was reset by the target, so that it is not complete.
type ResetError struct{}

// Error returns a fixed text.
func (*ResetError) Error() string {
	return "the target reset the connection whose end is that of the response"
}

// HeadTooLongError reports a target that sent too much before the body of its response.
type HeadTooLongError struct {
	// Limit is the number of bytes that it may send.
	Limit int
}

// Error returns the limit.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("no response body began within %d bytes", e.Limit)
}

// HeaderTooLargeError reports a response whose header is too large to be held until the response ends.
type HeaderTooLargeError struct {
	// Lines is the number of lines of the header, Bytes that of the bytes of their names and values.
	Lines, Bytes int
}

// Error returns the size and the limits.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the header has %d lines and %d bytes, %d and %d are allowed", e.Lines, e.Bytes, maxHeaderLines, maxHeaderBytes)
}

// UnmatchedResponsesError reports that a connection carried only responses to other requests.
type UnmatchedResponsesError struct {
	// Count is the number of these responses.
	Count int
}

// Error returns the number of responses.
func (e *UnmatchedResponsesError) Error() string {
	return fmt.Sprintf("%d responses on the connection belong to other requests", e.Count)
}
