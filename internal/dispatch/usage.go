package dispatch

import (
	"math"
	"time"
)

// usageDecayTime is the time in which the recorded usage and demand of a customer decay to 1/e. It is short because usage that lies
// further back would be a credit for customers that were idle, and a debt for those that used capacity that nobody else needed.
const usageDecayTime = time.Second

// decayingSum is an exponentially decaying sum of request costs.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the decayed sum at a time.
func (s decayingSum) valueAt(now time.Time) float64 {
	elapsed := now.Sub(s.updatedAt)
	if s.value == 0 || elapsed <= 0 {
		return s.value
	}
	return s.value * math.Exp(-float64(elapsed)/float64(usageDecayTime))
}

// withAdded returns the sum with a further amount. It never becomes negative.
func (s decayingSum) withAdded(now time.Time, amount float64) decayingSum {
	return decayingSum{value: max(s.valueAt(now)+amount, 0), updatedAt: now}
}
