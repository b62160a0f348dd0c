package dispatch

import (
	"math"
	"time"
)

// meterTimeConstant is the time in which the weight of an event decays to 1/e.
const meterTimeConstant = time.Second

// meter measures the rate of an event as an exponentially decaying count.
type meter struct {
	count     float64
	updatedAt time.Time
}

// withEvent returns the meter with one more event.
func (m meter) withEvent(now time.Time) meter {
	return meter{count: m.decayedCount(now) + 1, updatedAt: now}
}

// decayedCount returns the sum of the weights of all events.
func (m meter) decayedCount(now time.Time) float64 {
	if m.count == 0 {
		return 0
	}
	return m.count * math.Exp(-float64(max(now.Sub(m.updatedAt), 0))/float64(meterTimeConstant))
}

// rate returns the number of events per second.
func (m meter) rate(now time.Time) float64 { return m.decayedCount(now) / meterTimeConstant.Seconds() }
