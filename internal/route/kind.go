package route

// Kind defines how requests of a route are answered and whether they may be retried.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce marks requests that must not run more than once.
	AtMostOnce Kind = iota
	// Idempotent marks requests that may run again after any failure.
	Idempotent
	// Stream marks requests that are answered by a stream of events and must not run more than once.
	Stream
	// ResumableStream marks requests that are answered by a stream of events that another target can continue after the
	// last event.
	ResumableStream
)

// Retryable reports whether a request may be sent again although a target may already have run it.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether the response is a stream of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }
