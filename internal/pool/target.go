package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
)

const (
	// firstLoadWait is how long a target that has joined the pool gets no grants before its first load report. Without it a
	// restarted scheduler would grant slots that requests of its former incarnation still use.
	firstLoadWait = time.Second
	// loadTTL is the age from which a load report is no longer used to count the requests of other schedulers.
	loadTTL = 5 * time.Second
)

// target is one engine or service replica of a pool, as its scheduler sees it.
type target struct {
	name string
	// slots is the batch size: the number of requests that the target runs at once without the extra slots.
	slots   int
	leaving bool
	addedAt time.Time
	// load is the newest load report.
	load external.LoadReport
	// loadReceivedAt is the time at which the newest load report arrived, zero if there was none.
	loadReceivedAt time.Time
	// ownSlots is the number of runs and lent slots of this scheduler on the target.
	ownSlots int
	// inReport is the number of runs and lent slots of this scheduler, ended ones included, that the load report can include.
	inReport int
	// suspectRuns is the number of runs of suspects.
	suspectRuns int
	// shortRuns is the number of runs of short classes.
	shortRuns int
	// endedRuns lists the runs that ended after the load report was made.
	endedRuns []endedRun
	// budget is the number of slots that a scheduler with a partial view may still grant until the next load report.
	budget float64
	// refilledAt is the time at which the budget was last refilled.
	refilledAt time.Time
	// refillFraction is the part of the slot of an ended run that goes back to the budget before the next load report.
	refillFraction float64
}

// extraSlots returns the number of slots beyond the batch size that only short classes may use.
func (t *target) extraSlots() int { return max(1, t.slots/8) }

// foreignRequests returns the number of requests of other schedulers that the load report shows, zero if the report is too old.
func (t *target) foreignRequests(now time.Time) int {
	if t.loadReceivedAt.IsZero() || now.Sub(t.loadReceivedAt) > loadTTL {
		return 0
	}
	return max(0, t.load.Running+t.load.Queued-t.inReport)
}

// occupancy returns the number of occupied slots as far as it is known: those that this scheduler granted or lent, and the requests
// of other schedulers that the load report shows.
func (t *target) occupancy(now time.Time) int { return t.ownSlots + t.foreignRequests(now) }

// freeSlots returns the number of free slots, including the extra slots if forShort is set. If budgeted is set, the result is at
// most the grant budget. Short runs count as using the extra slots first. Otherwise a customer whose short calls keep all slots
// and extra slots busy would shut out long calls, because a slot that becomes free leaves the target exactly at its batch size.
func (t *target) freeSlots(now time.Time, forShort, budgeted bool) int {
	if t.leaving || t.load.Leaving || t.loadReceivedAt.IsZero() && now.Sub(t.addedAt) < firstLoadWait {
		return 0
	}
	occupancy := t.occupancy(now)
	free := t.slots + t.extraSlots() - occupancy
	if !forShort {
		free = min(free, t.slots-occupancy+min(t.shortRuns, t.extraSlots()))
	}
	free = max(0, free)
	if budgeted {
		free = min(free, int(t.budget))
	}
	return free
}

// observe stores a load report and forgets the runs that ended before it was made.
func (t *target) observe(now time.Time, load external.LoadReport) {
	t.load, t.loadReceivedAt = load, now
	if load.Slots > 0 {
		t.slots = load.Slots
	}
	t.endedRuns = slices.DeleteFunc(t.endedRuns, func(e endedRun) bool { return !e.endedAt.After(load.MeasuredAt) })
}

// refillBudget sets the budget until the next load report to a fraction of the free slots. The fractional part of the former
// budget is carried over.
func (t *target) refillBudget(now time.Time, free int, fraction float64) {
	t.refilledAt = now
	t.budget = t.budget - float64(int(t.budget)) + fraction*float64(max(0, free))
}

// addSlot counts a run or a lent slot and takes it from the budget.
func (t *target) addSlot(grantedAt time.Time, attrs runAttributes) {
	t.ownSlots++
	t.budget--
	if !t.loadReceivedAt.IsZero() && grantedAt.Before(t.load.MeasuredAt) {
		t.inReport++
	}
	if attrs.suspect {
		t.suspectRuns++
	}
	if attrs.short {
		t.shortRuns++
	}
}

// releaseSlot removes an ended run or a returned slot from the counts.
func (t *target) releaseSlot(now, grantedAt time.Time, attrs runAttributes) {
	t.ownSlots--
	t.budget += t.refillFraction
	t.recordEnd(now, grantedAt)
	if attrs.suspect {
		t.suspectRuns--
	}
	if attrs.short {
		t.shortRuns--
	}
}

// endForeignRun records the end of a run that is known from the load report only, so that it no longer counts as foreign.
func (t *target) endForeignRun(now time.Time) {
	t.inReport++
	t.recordEnd(now, time.Time{})
}

// recordEnd records a run that ended after the newest load report. It drops the oldest record if that is older than loadTTL.
func (t *target) recordEnd(now, grantedAt time.Time) {
	if len(t.endedRuns) > 0 && now.Sub(t.endedRuns[0].endedAt) > loadTTL {
		t.endedRuns = t.endedRuns[1:]
	}
	t.endedRuns = append(t.endedRuns, endedRun{grantedAt: grantedAt, endedAt: now})
}
