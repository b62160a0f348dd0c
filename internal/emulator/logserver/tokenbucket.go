package logserver

import "time"

// tokenBucket limits the rate of appends. It is not safe for concurrent use.
type tokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// newTokenBucket returns a full bucket for a number of appends per second. The burst is a tenth of that number, but at least
// one append.
func newTokenBucket(rate int) *tokenBucket {
	burst := max(1, float64(rate)/10)
	return &tokenBucket{rate: float64(rate), burst: burst, tokens: burst}
}

// allow refills the bucket and takes one token. It returns false if there is none.
func (b *tokenBucket) allow(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
