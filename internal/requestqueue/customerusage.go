package requestqueue

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Bounds of the delay after which a refused caller is told to retry.
const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// customerUsage counts the open requests of one customer at this router.
type customerUsage struct {
	waiting      int
	waitingBytes int
	// open is the number of open requests, waiting or running.
	open int
	// grantInterval is the moving average of the time between two grants.
	grantInterval time.Duration
	// lastGrant is the time of the last grant, zero if there was none.
	lastGrant time.Time
}

// checkLimits returns a refusal if one more request, with a body of the given size, would exceed a limit, else nil.
func (u *customerUsage) checkLimits(now time.Time, limits Limits, bytes int) *refusal.Error {
	over := func(limit, value int) bool { return limit > 0 && value > limit }
	var refused *refusal.Error
	switch {
	case over(limits.MaxWaiting, u.waiting+1):
		refused = refusal.Newf(refusal.FloodWaiting, "the customer has %d requests waiting at this router", u.waiting)
	case over(limits.MaxWaitingBytes, u.waitingBytes+bytes):
		refused = refusal.Newf(refusal.FloodBytes, "the customer has %d bytes waiting at this router", u.waitingBytes)
	case over(limits.MaxOpenRequests, u.open+1):
		refused = refusal.Newf(refusal.FloodConnections, "the customer has %d requests open at this router", u.open)
	default:
		return nil
	}
	return refused.WithRetryAt(u.retryAt(now))
}

// retryAt returns the time at which a refused caller should retry: when about two more requests of the customer will have
// been granted.
func (u *customerUsage) retryAt(now time.Time) time.Time {
	return now.Add(min(max(2*u.grantInterval, minRetryDelay), maxRetryDelay))
}

// recordGrant updates the grant interval. Gaps count as at most maxRetryDelay.
func (u *customerUsage) recordGrant(now time.Time) {
	if !u.lastGrant.IsZero() {
		interval := min(now.Sub(u.lastGrant), maxRetryDelay)
		u.grantInterval += (interval - u.grantInterval) / averageDivisor
	}
	u.lastGrant = now
}
