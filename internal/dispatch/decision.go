package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Decision is the result for a request: either a target, or a refusal before any target has received the request.
type Decision struct {
	// ID is the number that Submit returned.
	ID uint64
	// Target is the target to send the request to.
	Target Target
	// CacheSource is the address of another target from whose cache the chosen one can fetch parts of the prompt. It is empty
	// if there is none.
	CacheSource string
	// Refusal is nil if the request has a target.
	Refusal *refusal.Error
	// Waited is the time from the submission, or from the retry, to the decision.
	Waited time.Duration
	// PrefillTokens is the number of prompt tokens that the target is expected to read. Those in its own cache, and those that it fetches
	// from CacheSource, do not count. FetchTokens is the number of the latter.
	PrefillTokens, FetchTokens int
	// ExpectedFirstByte is the time at which the first byte of the answer is expected.
	ExpectedFirstByte time.Time
	// Cost is the cost of the chosen target in seconds. EligibleTargets is the number of targets that the choice was made
	// from.
	Cost            float64
	EligibleTargets int
}

// Outcome describes how an attempt to run a request at a target ended.
type Outcome string

// Outcomes of attempts at targets.
const (
	// Done means that the whole answer was delivered.
	Done Outcome = "done"
	// Failed means that the target answered with an error.
	Failed Outcome = "failed"
	// Broken means that the connection was lost before the end of the answer, or that the answer was invalid.
	Broken Outcome = "broken"
	// Misdirected means that the request reached another target than the one it was addressed to.
	Misdirected Outcome = "misdirected"
	// Rejected means that the target did not run the request.
	Rejected Outcome = "rejected"
	// Unreachable means that the target accepted no connection.
	Unreachable Outcome = "unreachable"
	// Delayed means that the router had too little processor time to open a connection in time, or that the target began to leave before
	// the router used the decision. It says nothing about the target.
	Delayed Outcome = "delayed"
	// Stalled means that the answer did not arrive in time.
	Stalled Outcome = "stalled"
	// Cancelled means that the caller left.
	Cancelled Outcome = "cancelled"
)
