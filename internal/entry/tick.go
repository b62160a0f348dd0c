package entry

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// strandedLimit is how long a request waits for a target of its model to appear, so that a gap in the host list does
// not refuse all requests of a model.
const strandedLimit = 2 * time.Second

// Tick returns the messages to send and the decisions since the last tick.
func (q *Queue) Tick(now time.Time) ([]message.Envelope, []Decision) {
	q.expire(now)
	q.strand(now)
	out := q.leave()
	for _, l := range q.sortedLanes() {
		if l.scheduler == "" || !q.connected[l.scheduler] {
			continue
		}
		for _, body := range l.messages(now, q.every) {
			out = append(out, message.Envelope{To: l.scheduler, Body: body})
		}
		if home, found := q.home(l.pool.Model); l.empty() && (!found || home != l.pool) {
			delete(q.lanes, l.pool)
		}
	}
	out = append(out, q.finish()...)
	return out, q.decide()
}

// decide returns the decisions that still hold: a call may have been cancelled since its grant came.
func (q *Queue) decide() []Decision {
	decisions := slices.DeleteFunc(q.decisions, func(d Decision) bool {
		if d.Refusal != nil {
			return false
		}
		c, ok := q.calls[d.RequestID]
		return !ok || c.run == nil || c.run.grant != d.GrantNumber
	})
	q.decisions = nil
	return decisions
}

// expire refuses waiting calls whose deadline has passed.
func (q *Queue) expire(now time.Time) {
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].at) {
		first, _ := heap.Pop(&q.deadlines).(expiry)
		if c, ok := q.calls[first.id]; ok && c.run == nil {
			q.refuse(c, refusal.New(refusal.Expired, "the deadline passed before a target was free"))
		}
	}
}

// strand refuses calls whose model has had no target for some time.
func (q *Queue) strand(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(q.stranded)) {
		if c := q.stranded[id]; now.Sub(c.stranded) >= strandedLimit {
			q.refuse(c, noTarget(now, c.request.Model))
		}
	}
}

// refuse ends a waiting call with a refusal.
func (q *Queue) refuse(c *call, refused *refusal.Error) {
	q.drop(c)
	q.decisions = append(q.decisions, Decision{RequestID: c.id, Refusal: refused})
}

// leave tells former schedulers that nothing of this router is theirs any more.
func (q *Queue) leave() []message.Envelope {
	out := make([]message.Envelope, 0, len(q.farewells))
	for _, to := range slices.SortedFunc(maps.Keys(q.farewells), address.compare) {
		sync := &fleetpb.Sync{Pool: to.pool}
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}}})
	}
	clear(q.farewells)
	return out
}

// finish returns the ends of runs and unused grants of schedulers other than the lanes' own.
func (q *Queue) finish() []message.Envelope {
	out := make([]message.Envelope, 0, len(q.finishes))
	for _, to := range slices.SortedFunc(maps.Keys(q.finishes), address.compare) {
		finish := &fleetpb.Finish{Pool: to.pool, Runs: q.finishes[to]}
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: finish}}})
	}
	clear(q.finishes)
	return out
}
