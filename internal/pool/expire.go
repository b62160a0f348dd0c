package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
)

const (
	// firstProgressGrace is how long after a grant's deadline its first progress report may arrive. Progress is reported
	// twice a second, and the slowest links add some milliseconds.
	firstProgressGrace = 1500 * time.Millisecond
	// dispatchGrace is the time that a granted request may take to reach its target. A loan that expired less than this
	// before a load report is kept, because the report may not show a run on the lent slot yet.
	dispatchGrace = 100 * time.Millisecond
	// lostRunMinimum is how long the runs of a disconnected entry router count as running, whatever load reports say.
	lostRunMinimum = 2 * time.Second
	// lostRunTimeout is the longest time for which the runs of a disconnected entry router count as running if the
	// caller's deadline is not known.
	lostRunTimeout = 5 * time.Minute
)

// expire ends grants that were not used in time, lost runs that must have ended, and loans whose deadline passed more than
// a second ago. With a partial view it also refills the grant budget of targets whose last refill was more than a second ago.
func (s *poolScheduler) expire(now time.Time) {
	for _, r := range s.runsWhere(func(r *run) bool { return r.grantLapsed(now) }) {
		s.endRun(now, r, 0)
	}
	for _, r := range s.runsWhere(func(r *run) bool { return r.lostTooLong(now, s.target(r.target) != nil) }) {
		s.endRun(now, r, r.charged)
	}
	for _, t := range s.targets {
		s.expireLoans(now.Add(-time.Second), t)
		if s.hasPartialView() && now.Sub(t.refilledAt) > time.Second {
			t.refillBudget(now, t.slots-t.occupancy(now), s.reachableFraction)
		}
	}
}

// applyLoad updates a target from its load report. A report that is not newer than the last one is ignored.
func (s *poolScheduler) applyLoad(now time.Time, name string, load external.LoadReport) {
	t := s.target(name)
	if t == nil || !t.loadReceivedAt.IsZero() && !load.MeasuredAt.After(t.load.MeasuredAt) {
		return
	}
	t.observe(now, load)
	s.expireLoans(load.MeasuredAt.Add(-dispatchGrace), t)
	s.endExcessLostRuns(now, t)
	s.recountInReport(t)
	if s.hasPartialView() {
		t.refillBudget(now, t.slots-load.Running-load.Queued, s.reachableFraction)
	}
}

// endExcessLostRuns ends lost runs, the oldest ones first, if a target's load report shows fewer requests than this scheduler
// has on the target.
func (s *poolScheduler) endExcessLostRuns(now time.Time, t *target) {
	excess := t.ownSlots - t.load.Running - t.load.Queued
	if excess <= 0 {
		return
	}
	lost := s.runsWhere(func(r *run) bool {
		return r.target == t.name && !r.lostAt.IsZero() && t.load.MeasuredAt.Sub(r.lostAt) >= lostRunMinimum
	})
	slices.SortStableFunc(lost, func(a, b *run) int { return a.grantedAt.Compare(b.grantedAt) })
	for _, r := range lost[:min(excess, len(lost))] {
		s.endRun(now, r, r.charged)
	}
}

// recountInReport counts the runs and lent slots of this scheduler that the target's load report can include: those granted
// before the report was made.
func (s *poolScheduler) recountInReport(t *target) {
	t.inReport = 0
	for _, r := range s.runs {
		if r.target == t.name && r.grantedAt.Before(t.load.MeasuredAt) {
			t.inReport++
		}
	}
	for _, l := range s.loans {
		if l.target == t.name && l.grantedAt.Before(t.load.MeasuredAt) {
			t.inReport += l.remaining
		}
	}
	for _, e := range t.endedRuns {
		if e.grantedAt.Before(t.load.MeasuredAt) {
			t.inReport++
		}
	}
}
