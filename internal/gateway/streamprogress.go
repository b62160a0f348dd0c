package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/route"
)

const (
	// minResumeGap is the time without an event after which another target may continue a resumable stream, at the least: a sound target may be
	// silent for more than a second.
	minResumeGap = 1600 * time.Millisecond
	// resumeGapFraction is that time as a fraction of the time after which callers leave, if it is longer. So streams with long pauses are not
	// broken off, and callers are still there when the stream goes on.
	resumeGapFraction = 0.8
	// leaveSlack is how much longer than its timeout a caller counts as waiting, since its request was read after it had been sent.
	leaveSlack = 50 * time.Millisecond
)

// streamProgress tells how long a target may take for the next event of a stream. Only whole events count: a target that is stuck may still
// send a byte now and then. Its times are deadlines of the read that comes next.
type streamProgress struct {
	route *route.Route
	// resumable is set if another target can continue the stream.
	resumable bool
	// events is the number of events that this target has sent so far.
	events int
	// resumeAt is the time from which another target may continue the stream, callerLeavesAt the one from which no caller waits for it any more.
	// Each is zero if there is none.
	resumeAt, callerLeavesAt time.Time
}

// newStreamProgress returns the progress of a stream whose head has just arrived. lastEventAt is the time from which the caller has waited
// for an event.
func newStreamProgress(now, lastEventAt time.Time, route *route.Route, resumable bool) *streamProgress {
	progress := &streamProgress{route: route, resumable: resumable}
	progress.restart(now, lastEventAt)
	return progress
}

// restart sets the deadlines for the next event.
func (p *streamProgress) restart(now, lastEventAt time.Time) {
	if p.resumable {
		p.resumeAt = now.Add(max(minResumeGap, time.Duration(resumeGapFraction*float64(p.route.EventTimeout))))
	}
	p.callerLeavesAt = leavesAt(p.route, lastEventAt)
}

// leavesAt returns the time at which a caller that waits for an event of a stream since a time has left, zero if that is not known.
func leavesAt(route *route.Route, since time.Time) time.Time {
	if route.EventTimeout <= 0 {
		return time.Time{}
	}
	return since.Add(route.EventTimeout + leaveSlack)
}

// recordEvents takes the number of events that the target has sent so far.
func (p *streamProgress) recordEvents(now time.Time, events int) {
	if events > p.events {
		p.events = events
		p.restart(now, now)
	}
}
