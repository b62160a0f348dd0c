package gateway

import (
	"errors"
	"fmt"
	"net"

	"github.com/chicorydale/chicorydale/internal/forward"
)

// unsignedError says that a response lacks the signature of the target.
type unsignedError struct{ status int }

// Error implements error.
func (e *unsignedError) Error() string {
	return fmt.Sprintf("response with status %d is not signed by the target", e.status)
}

// unmarkedBuildError says that the store does not hold yet that streams may begin at the build of a target.
type unmarkedBuildError struct{}

// Error implements error.
func (e *unmarkedBuildError) Error() string {
	return "the build of the target is not marked in the store"
}

// targetLeftError says that a target began to leave after it was chosen.
type targetLeftError struct{}

// Error implements error.
func (e *targetLeftError) Error() string { return "the target has begun to leave" }

// serverError says that a target responded with a failure of its own.
type serverError struct{ status int }

// Error implements error.
func (e *serverError) Error() string { return fmt.Sprintf("target responded with status %d", e.status) }

// rejectedError says that a target did not run a request.
type rejectedError struct{ status int }

// Error implements error.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("request rejected with status %d", e.status)
}

// streamRestartedError says that a target was asked to continue a stream after one event but sent that event or an earlier
// one.
type streamRestartedError struct{ after, got string }

// Error implements error.
func (e *streamRestartedError) Error() string {
	return fmt.Sprintf("target continued the stream with event %s after event %s", e.got, e.after)
}

// streamEndError says that a stream ended where no complete stream does.
type streamEndError struct {
	framing forward.Framing
	// insideEvent is set if the stream ended inside an event, and not before its first event.
	insideEvent bool
}

// Error implements error.
func (e *streamEndError) Error() string {
	if e.insideEvent {
		return fmt.Sprintf("stream ended inside an event (framing: %s)", e.framing)
	}
	return fmt.Sprintf("stream ended before its first event (framing: %s)", e.framing)
}

// eventTooLongError says that an event of a stream is larger than maxEventBytes.
type eventTooLongError struct{}

// Error implements error.
func (*eventTooLongError) Error() string {
	return fmt.Sprintf("stream has an event of more than %d bytes", maxEventBytes)
}

// crashedEndError says that an answer ended with its connection and that its target accepts no new one.
type crashedEndError struct{ cause error }

// Error implements error.
func (e *crashedEndError) Error() string {
	return fmt.Sprintf("answer ended as its target crashed: %v", e.cause)
}

// Unwrap returns the cause.
func (e *crashedEndError) Unwrap() error { return e.cause }

// isTimeout reports whether err was caused by a deadline of a connection.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isOwnDelay reports whether an attempt to connect failed because this process got too little processor time.
func isOwnDelay(err error) bool {
	var late *forward.LateDialError
	return errors.As(err, &late)
}

// isStartMismatch reports whether an attempt was not sent because the target has started again, or did not tell its start.
func isStartMismatch(err error) bool {
	var other *forward.OtherStartError
	var unknown *forward.UnknownStartError
	return errors.As(err, &other) || errors.As(err, &unknown)
}
