package dispatch

import "time"

// run is one attempt to run a request at a target.
type run struct {
	id         uint64
	request    Request
	target     *targetState
	assignedAt time.Time
	// tokensBeforeFirstByte is the number of tokens that the target had to read before the first byte of this run's answer: the
	// unread tokens of earlier runs and those of this run.
	tokensBeforeFirstByte int
	// prefillTokens is the number of tokens of this run's prompt that the target had to read, fetchTokens that of those that it fetched from
	// the cache of another target.
	prefillTokens, fetchTokens int
	// assignedTokens is the target's assignedTokens after this run's tokens were added.
	assignedTokens float64
	// behindAfter is the time after which the target counts as behind if it has not sent the first byte.
	behindAfter time.Time
	// stalledAfter is the time after which the target may count as stalled if it has not sent the first byte. See isHealthy.
	stalledAfter time.Time
	// charged is the cost that was charged to the customer.
	charged float64
	// answered is set when the first byte of the answer has arrived.
	answered bool
}
