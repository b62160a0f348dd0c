package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// headerLogInterval is the minimum time between log lines about invalid headers of one target.
const headerLogInterval = time.Second

// targetNotices passes what targets say about themselves in their answers on to the scheduler, and logs the changes. It is safe for
// concurrent use.
type targetNotices struct {
	scheduler *scheduler
	logger    zerolog.Logger

	mu sync.Mutex
	// headerLoggedAt holds the time of the last log line about an invalid header, by target.
	headerLoggedAt map[string]time.Time
	// paused holds the ends of the pauses whose end was not logged yet, by target.
	paused map[string]time.Time
	// pausedTime is the sum of all pauses that targets have asked for.
	pausedTime time.Duration
}

// newTargetNotices returns notices without targets.
func newTargetNotices(scheduler *scheduler, logger zerolog.Logger) *targetNotices {
	return &targetNotices{
		scheduler: scheduler, logger: logger, headerLoggedAt: make(map[string]time.Time), paused: make(map[string]time.Time),
	}
}

// record takes what the head of a target's response says about the target. A response of another target at the address says nothing.
func (n *targetNotices) record(target dispatch.Target, info *forward.ResponseInfo) {
	if info.Misdirected {
		return
	}
	if info.HeaderErr != nil {
		n.logHeaderError(time.Now(), target.Name, info.HeaderErr)
	}
	if info.Leaving && n.scheduler.recordLeaving(target) {
		event.TargetNotice.Log(n.logger, target.Name)
	}
	if !info.PausedUntil.IsZero() && n.scheduler.recordPause(target, info.PausedUntil) {
		n.pauseBegan(time.Now(), target.Name, info.PausedUntil)
	}
}

// pauseBegan logs a pause that is new or longer than before. It is kept until its end was logged, however short it is.
func (n *targetNotices) pauseBegan(now time.Time, target string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from := now
	if known, paused := n.paused[target]; paused && known.After(now) {
		from = known
	}
	n.pausedTime += max(until.Sub(from), 0)
	n.paused[target] = until
	event.TargetPaused.Log(n.logger, target, until.Sub(now).Milliseconds())
}

// logHeaderError logs an invalid header, unless there was a line about the target within headerLogInterval.
func (n *targetNotices) logHeaderError(now time.Time, target string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.headerLoggedAt[target]) >= headerLogInterval {
		n.headerLoggedAt[target] = now
		event.TargetHeaderInvalid.Log(n.logger, target, err)
	}
}

// update logs the pauses that have ended and updates the gauges. It is called periodically.
func (n *targetNotices) update(now time.Time, notices []dispatch.TargetNotice, metrics *metric.Set) {
	n.mu.Lock()
	defer n.mu.Unlock()
	leaving := 0
	paused := make(map[string]bool)
	for _, said := range notices {
		if said.Leaving {
			leaving++
		}
		if !said.PausedUntil.IsZero() {
			paused[said.Target] = true
		}
	}
	for name := range n.paused {
		if !paused[name] {
			event.TargetResumed.Log(n.logger, name)
			delete(n.paused, name)
		}
	}
	maps.DeleteFunc(n.headerLoggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= headerLogInterval })
	metrics.SetGauge(metric.TargetsLeaving, float64(leaving))
	metrics.SetGauge(metric.TargetsPaused, float64(len(paused)))
	metrics.SetGauge(metric.TargetPauseSeconds, n.pausedTime.Seconds())
}
