package entry

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Bounds of the time at which a refused caller is told to come back.
const (
	leastRetry = 250 * time.Millisecond
	mostRetry  = 10 * time.Second
)

// usage is what one customer has open at this router.
type usage struct {
	waiting  int
	bytes    int
	open     int
	interval time.Duration
	granted  time.Time
}

// check returns a refusal if one more request would go over a limit.
func (u *usage) check(now time.Time, limits Limits, bytes int) *refusal.Error {
	over := func(limit, value int) bool { return limit > 0 && value > limit }
	var refused *refusal.Error
	switch {
	case over(limits.MaxWaiting, u.waiting+1):
		refused = refusal.Newf(refusal.FloodWaiting, "the customer has %d requests waiting at this router", u.waiting)
	case over(limits.MaxWaitingBytes, u.bytes+bytes):
		refused = refusal.Newf(refusal.FloodBytes, "the customer has %d bytes waiting at this router", u.bytes)
	case over(limits.MaxOpenRequests, u.open+1):
		refused = refusal.Newf(refusal.FloodConnections, "the customer has %d requests open at this router", u.open)
	default:
		return nil
	}
	return refused.WithRetryAt(u.retry(now))
}

// retry returns the instant at which about two of the customer's requests will have been granted.
func (u *usage) retry(now time.Time) time.Time {
	return now.Add(min(max(2*u.interval, leastRetry), mostRetry))
}

// grant notes that one request of the customer was granted.
func (u *usage) grant(now time.Time) {
	if !u.granted.IsZero() {
		gap := min(now.Sub(u.granted), mostRetry)
		u.interval += (gap - u.interval) / smoothing
	}
	u.granted = now
}
