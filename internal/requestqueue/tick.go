package requestqueue

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// noPoolTimeout is the time for which a waiting request is kept while no target serves its model, so that a short absence of
// all its targets from the host list does not cause all requests of the model to be refused.
const noPoolTimeout = 2 * time.Second

// Tick returns the messages to send and the decisions since the last tick. It refuses waiting requests whose deadline has
// passed or whose model has had no target for noPoolTimeout since the latest view.
func (q *Queue) Tick(now time.Time) ([]message.Envelope, []Decision) {
	q.refuseExpired(now)
	q.refuseWithoutPool(now)
	out := q.takeFormerSchedulerSyncs()
	for _, p := range q.sortedPools() {
		if p.scheduler == "" || !q.connectedPeers[p.scheduler] {
			continue
		}
		for _, body := range p.takeMessages(now, q.progressInterval) {
			out = append(out, message.Envelope{To: p.scheduler, Body: body})
		}
		if home, found := q.homePool(p.pool.Model); p.isEmpty() && (!found || home != p.pool) {
			delete(q.pools, p.pool)
		}
	}
	out = append(out, q.takeSchedulerFinishes()...)
	return out, q.takeDecisions()
}

// takeDecisions returns the pending decisions, without grants of calls that ended or were queued again since.
func (q *Queue) takeDecisions() []Decision {
	decisions := slices.DeleteFunc(q.pendingDecisions, func(d Decision) bool {
		if d.Refusal != nil {
			return false
		}
		c, ok := q.calls[d.RequestID]
		return !ok || c.run == nil || c.run.grantNumber != d.GrantNumber
	})
	q.pendingDecisions = nil
	return decisions
}

// refuseExpired refuses waiting calls whose deadline has passed.
func (q *Queue) refuseExpired(now time.Time) {
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].at) {
		first, _ := heap.Pop(&q.deadlines).(callDeadline)
		if c, ok := q.calls[first.callID]; ok && c.run == nil {
			q.refuse(c, refusal.New(refusal.Expired, "the deadline passed before a target was free"))
		}
	}
}

// refuseWithoutPool refuses waiting calls whose model has had no target for noPoolTimeout since the latest view.
func (q *Queue) refuseWithoutPool(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(q.withoutPool)) {
		if c := q.withoutPool[id]; now.Sub(c.noPoolSince) >= noPoolTimeout {
			q.refuse(c, noTargetRefusal(now, c.request.Model))
		}
	}
}

// refuse removes a waiting call and adds a decision with its refusal.
func (q *Queue) refuse(c *call, refused *refusal.Error) {
	q.removeWaitingCall(c)
	q.pendingDecisions = append(q.pendingDecisions, Decision{RequestID: c.id, Refusal: refused})
}

// takeFormerSchedulerSyncs returns an empty full state for each former scheduler, so that it drops the calls of this router.
func (q *Queue) takeFormerSchedulerSyncs() []message.Envelope {
	out := make([]message.Envelope, 0, len(q.formerSchedulers))
	for _, to := range slices.SortedFunc(maps.Keys(q.formerSchedulers), schedulerAddress.compare) {
		sync := &fleetpb.Sync{Pool: to.pool}
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}}})
	}
	clear(q.formerSchedulers)
	return out
}

// takeSchedulerFinishes returns one message for each entry of endsByScheduler, and removes the entries.
func (q *Queue) takeSchedulerFinishes() []message.Envelope {
	out := make([]message.Envelope, 0, len(q.endsByScheduler))
	for _, to := range slices.SortedFunc(maps.Keys(q.endsByScheduler), schedulerAddress.compare) {
		finish := &fleetpb.Finish{Pool: to.pool, Runs: q.endsByScheduler[to]}
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: finish}}})
	}
	clear(q.endsByScheduler)
	return out
}
