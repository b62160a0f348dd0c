package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Decision is what became of a request: it has a target, or it is refused and was not given to a target.
type Decision struct {
	// ID is the number that Submit returned.
	ID uint64
	// Target is the target to send the request to.
	Target Target
	// CacheSource is the address of a target from whose cache the chosen one can take parts of the prompt, empty if there is
	// none.
	CacheSource string
	// Refusal is set if the request gets no target.
	Refusal *refusal.Error
	// Waited is the time from the submission to the decision.
	Waited time.Duration
	// PrefillTokens is the number of tokens of the prompt that the target is expected to read.
	PrefillTokens int
	// ExpectedFirstByte is the instant at which the first byte of the answer is expected.
	ExpectedFirstByte time.Time
	// Cost is the cost of the chosen target in seconds, and Choices the number of targets that could have been chosen.
	Cost    float64
	Choices int
}

// Outcome is how a request ended at its target.
type Outcome string

// Outcomes of requests at targets.
const (
	// Done is a request whose answer was delivered.
	Done Outcome = "done"
	// Failed is a request that the target answered with a failure.
	Failed Outcome = "failed"
	// Broken is a request whose connection broke before the end of the answer, or whose answer was invalid.
	Broken Outcome = "broken"
	// Misdirected is a request that reached another target than the one it was meant for.
	Misdirected Outcome = "misdirected"
	// Rejected is a request that the target did not run.
	Rejected Outcome = "rejected"
	// Unreachable is a request whose target accepted no connection.
	Unreachable Outcome = "unreachable"
	// Stalled is a request whose answer did not come in time.
	Stalled Outcome = "stalled"
	// Cancelled is a request whose caller left.
	Cancelled Outcome = "cancelled"
)
