package logserver

import "time"

// bucket bounds the rate of appends.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// newBucket returns a bucket for a number of appends a second, of which a tenth may come at once.
func newBucket(rate int) *bucket {
	burst := max(1, float64(rate)/10)
	return &bucket{rate: float64(rate), burst: burst, tokens: burst}
}

// take takes one token, if there is one.
func (b *bucket) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
