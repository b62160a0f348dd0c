package dispatch

import (
	"math"
	"time"
)

// usageDecayTime is the time in which the recorded usage of a customer decays to 1/e. Fairness is provided over a few seconds.
const usageDecayTime = 4 * time.Second

// decayingUsage is an exponentially decaying sum of request costs.
type decayingUsage struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the decayed sum at a time.
func (u decayingUsage) valueAt(now time.Time) float64 {
	elapsed := now.Sub(u.updatedAt)
	if u.value == 0 || elapsed <= 0 {
		return u.value
	}
	return u.value * math.Exp(-float64(elapsed)/float64(usageDecayTime))
}

// withAdded returns the sum with a further amount. It never becomes negative.
func (u decayingUsage) withAdded(now time.Time, amount float64) decayingUsage {
	return decayingUsage{value: max(u.valueAt(now)+amount, 0), updatedAt: now}
}
