package route

// Kind tells how a request of a route is answered and how often it may run.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce is a request that runs at most once.
	AtMostOnce Kind = iota
	// Idempotent is a request that may run again after any failure.
	Idempotent
	// Stream is a request that is answered by events and runs at most once.
	Stream
	// ResumableStream is a request that is answered by events; another target may go on after the last one.
	ResumableStream
)

// Retryable tells whether a request may be sent again after it may have run.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Streaming tells whether the answer is a stream of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }
