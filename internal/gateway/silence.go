package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/forward"
)

// silenceCheckInterval is the time between checks whether the request of a silent target can go to another one.
const silenceCheckInterval = 100 * time.Millisecond

// silenceCheck returns a check, not yet from any time on, that ends an attempt at a silent target when another target can take the request. A sound
// target may be silent for a while, so an attempt goes on if there is no better one. sentAttempts includes that attempt.
func (x *exchange) silenceCheck(decision dispatch.Decision, sentAttempts int) forward.SilenceCheck {
	if !x.mayRetry(sentAttempts) {
		return forward.SilenceCheck{}
	}
	return forward.SilenceCheck{GoOn: func() time.Time {
		if x.leavesSilentTarget(decision) {
			return time.Time{}
		}
		return time.Now().Add(silenceCheckInterval)
	}}
}

// leavesSilentTarget reports whether another target can take the request of a silent one now. If so, it takes the retry from the budget.
func (x *exchange) leavesSilentTarget(decision dispatch.Decision) bool {
	if !x.hasRetry && x.gateway.scheduler.hasTarget(x.requestAfter(decision)) {
		x.hasRetry = x.gateway.retryBudgets.takeRetry(x.service)
	}
	return x.hasRetry
}
