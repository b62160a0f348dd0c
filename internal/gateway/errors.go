package gateway

import (
	"errors"
	"fmt"
	"net"
)

// invalidError says that an answer is not one that the target signed.
type invalidError struct{ status int }

// Error describes the answer.
func (e *invalidError) Error() string {
	return fmt.Sprintf("answer with status %d lacks the signature", e.status)
}

// failedError says that a target answered with a failure of its own.
type failedError struct{ status int }

// Error describes the answer.
func (e *failedError) Error() string { return fmt.Sprintf("answered with status %d", e.status) }

// rejectedError says that a target did not run a request.
type rejectedError struct{ status int }

// Error describes the answer.
func (e *rejectedError) Error() string { return fmt.Sprintf("rejected with status %d", e.status) }

// restartedError says that a target which was to go on with a stream after an event began with an earlier one.
type restartedError struct{ after, id string }

// Error describes the events.
func (e *restartedError) Error() string {
	return fmt.Sprintf("the stream goes on with event %s after event %s", e.id, e.after)
}

// isTimeout tells whether an error comes from a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
