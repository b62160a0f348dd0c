package gateway

import (
	"sync/atomic"
	"time"
)

// lag measures how late this process gets the processor: how much later than due its periodic work ran. One goroutine notes
// runs, others may take the result.
type lag struct {
	last time.Time
	// worst is the largest lateness in nanoseconds since it was taken.
	worst atomic.Int64
}

// note takes over a run of work that is due once a period. The instants have the steady clock, which steps of the time of day
// do not change.
func (l *lag) note(at time.Time, period time.Duration) {
	if !l.last.IsZero() {
		if late := int64(at.Sub(l.last) - period); late > l.worst.Load() {
			l.worst.Store(late)
		}
	}
	l.last = at
}

// take returns the largest lateness since the last call.
func (l *lag) take() time.Duration { return time.Duration(l.worst.Swap(0)) }
