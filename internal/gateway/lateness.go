package gateway

import (
	"sync/atomic"
	"time"
)

// latenessMeter measures how long this process waits for a processor, by the delay of its periodic work. recordRun and
// recordWorst must be called by one goroutine only; takeWorst is safe for concurrent use.
type latenessMeter struct {
	lastRun time.Time
	// worst is the largest delay in nanoseconds since the last call of takeWorst.
	worst atomic.Int64
}

// recordRun records a run of work that is due once per period, and returns its delay. runAt must hold a monotonic clock reading, so that changes
// of the wall clock have no effect.
func (m *latenessMeter) recordRun(runAt time.Time, period time.Duration) (lateness time.Duration) {
	if !m.lastRun.IsZero() {
		lateness = runAt.Sub(m.lastRun) - period
	}
	m.recordWorst(lateness)
	m.lastRun = runAt
	return lateness
}

// recordWorst records a delay for takeWorst.
func (m *latenessMeter) recordWorst(lateness time.Duration) {
	if int64(lateness) > m.worst.Load() {
		m.worst.Store(int64(lateness))
	}
}

// takeWorst returns the largest delay since the last call.
func (m *latenessMeter) takeWorst() time.Duration { return time.Duration(m.worst.Swap(0)) }
