package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/forward"
)

const (
	// silenceCheckInterval is the time between checks whether the request of a silent target can go to another one.
	silenceCheckInterval = 100 * time.Millisecond
	// soundSilence is how long a sound target may be silent.
	soundSilence = 1300 * time.Millisecond
	// maxSilenceFraction is the part of the time for an answer after which a target that has sent nothing is left, although another one that is
	// silent too cannot answer in time any more.
	maxSilenceFraction = 0.8
)

// silenceCheck returns a check, not yet from any time on, that ends an attempt at a silent target when another target can take the request. A sound
// target may be silent for a while, so an attempt goes on if there is no better one, and during the time to stay. sentAttempts includes that attempt.
func (x *exchange) silenceCheck(decision dispatch.Decision, sentAttempts int, stay stayTime) forward.SilenceCheck {
	if !x.mayRetry(sentAttempts) {
		return forward.SilenceCheck{}
	}
	return forward.SilenceCheck{GoOn: func() time.Time {
		now := time.Now()
		if stay.contains(now) {
			return stay.until
		}
		if x.leavesSilentTarget(decision) {
			return time.Time{}
		}
		return now.Add(silenceCheckInterval)
	}}
}

// leavesSilentTarget reports whether another target can take the request of a silent one now. If so, it takes the retry from the budget.
func (x *exchange) leavesSilentTarget(decision dispatch.Decision) bool {
	if !x.hasRetry && x.gateway.scheduler.hasTarget(x.requestAfter(decision)) {
		x.hasRetry = x.gateway.retryBudgets.takeRetry(x.service)
	}
	return x.hasRetry
}

// stayTime is the time during which an attempt stays at a silent target: too late for another one that is silent for as long, and too early to say
// that the target hangs. The zero value contains no time.
type stayTime struct {
	since, until time.Time
}

// newStayTime returns the time for an attempt that was sent at a time and whose answer must begin by a deadline. It is empty if a target that is
// silent could hardly answer before the deadline: then another one, which may not be silent, does better.
func newStayTime(sentAt, deadline time.Time) stayTime {
	until := sentAt.Add(time.Duration(maxSilenceFraction * float64(deadline.Sub(sentAt))))
	if until.Before(sentAt.Add(soundSilence)) {
		return stayTime{}
	}
	return stayTime{since: deadline.Add(-soundSilence), until: until}
}

// contains reports whether an attempt stays at its target at a time.
func (s stayTime) contains(now time.Time) bool { return now.After(s.since) && now.Before(s.until) }
