package gateway

import (
	"sync/atomic"
	"time"
)

// lag measures how late this process gets the processor: how much later than due its periodic work ran. It is safe for
// concurrent use by one writer and many readers.
type lag struct {
	// last is the Unix nanosecond of the last run, now the lateness of that run, worst the largest one since it was taken.
	last, now, worst atomic.Int64
}

// note takes over a run of work that is due once a period.
func (l *lag) note(at time.Time, period time.Duration) {
	before := l.last.Swap(at.UnixNano())
	if before == 0 {
		return
	}
	late := max(at.UnixNano()-before-int64(period), 0)
	l.now.Store(late)
	if late > l.worst.Load() {
		l.worst.Store(late)
	}
}

// take returns the largest lateness since the last call.
func (l *lag) take() time.Duration { return time.Duration(l.worst.Swap(0)) }
