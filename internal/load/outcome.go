package load

import "time"

// Outcome codes of calls that were neither answered nor refused.
const (
	// CodeUnreachable means that no router could be reached.
	CodeUnreachable = "unreachable"
	// CodeBroken means that the call failed in another way, for example because its connection broke.
	CodeBroken = "broken"
	// CodeTimedOut means that the deadline of the call passed or its context was cancelled.
	CodeTimedOut = "late"
	// CodeSkipped means that the call was not sent because Plan.MaxInFlight calls were in flight.
	CodeSkipped = "skipped"
)

// Outcome describes how one call ended.
type Outcome struct {
	// Code is empty if the call was answered completely; otherwise it is the code of the refusal or failure.
	Code string
	// Refused reports whether a router refused the call, so that Code is the code of the refusal.
	Refused bool
	// FirstTokenAt is the time of the first token or, for a service call, of the response. It is zero if there was none.
	FirstTokenAt time.Time
	// Resumes counts how often the stream was resumed after a break.
	Resumes int
	// Tokens counts the tokens received.
	Tokens int64
}
