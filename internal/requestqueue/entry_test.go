package requestqueue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

const poolName = "z/drafts/0"

var now = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// viewWithScheduler returns the view of the router "me" in which the given router schedules the only pool.
func viewWithScheduler(scheduler string) membership.View {
	routers := []membership.Router{
		{Name: "me", Zone: "y", State: membership.Up},
		{Name: scheduler, Zone: "z", State: membership.Up},
	}
	return membership.NewView("me", routers, []membership.Target{{Name: "t", Zone: "z", Model: "drafts", Slots: 8}})
}

// newQueue returns a queue of the router "me" with customer 7. It has a session with the scheduler s1.
func newQueue(limits requestqueue.Limits) *requestqueue.Queue {
	q := requestqueue.NewQueue("me", 1)
	classes := map[string]requestqueue.Class{"long": {Patience: time.Second, Long: true}}
	q.SetCustomers(now, map[uint32]requestqueue.Customer{7: {Limits: limits, Classes: classes}})
	q.UpdateView(now, viewWithScheduler("s1"))
	q.Connected(now, "s1", 1)
	return q
}

// mustSubmit submits a request of customer 7 that the queue must admit, and returns its ID.
func mustSubmit(c *qt.C, q *requestqueue.Queue, deadline time.Time) uint64 {
	id, refused := q.Submit(now, requestqueue.Request{Customer: 7, Model: "drafts", Class: "long", BodyBytes: 100, Deadline: deadline})
	c.Assert(refused == nil, qt.IsTrue)
	return id
}

// sendGrant delivers a grant of the scheduler s1 for a request.
func sendGrant(q *requestqueue.Queue, at time.Time, request, number uint64) {
	grant := &fleetpb.Grant{Request: request, Target: "t", Number: number, Deadline: at.Add(time.Second).UnixMilli()}
	grants := &fleetpb.Grants{Pool: poolName, Grants: []*fleetpb.Grant{grant}}
	q.Receive(at, "s1", &fleetpb.Body{Kind: &fleetpb.Body_Grants{Grants: grants}})
}

// endsByGrant returns the ended runs in the messages by grant number.
func endsByGrant(envelopes []message.Envelope) map[uint64]*fleetpb.Ended {
	all := make(map[uint64]*fleetpb.Ended)
	for _, envelope := range envelopes {
		for _, ended := range envelope.Body.GetFinish().GetRuns() {
			all[ended.GetGrant()] = ended
		}
	}
	return all
}

// TestFloodLimits guards against requests beyond a limit that are queued instead of refused, and against usage counts that are
// not released, or released twice, when a request ends.
func TestFloodLimits(t *testing.T) {
	for name, test := range map[string]struct {
		limits requestqueue.Limits
		code   refusal.Code
	}{
		"waiting":     {requestqueue.Limits{MaxWaiting: 2}, refusal.FloodWaiting},
		"bytes":       {requestqueue.Limits{MaxWaitingBytes: 250}, refusal.FloodBytes},
		"connections": {requestqueue.Limits{MaxOpenRequests: 2}, refusal.FloodConnections},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(test.limits)
			first := mustSubmit(c, q, time.Time{})
			mustSubmit(c, q, time.Time{})
			_, refused := q.Submit(now, requestqueue.Request{Customer: 7, Model: "drafts", Class: "long", BodyBytes: 100})
			c.Assert(refused, qt.IsNotNil)
			c.Check(refused.Code, qt.Equals, test.code)
			c.Check(refused.Execution, qt.Equals, refusal.NotExecuted)
			c.Check(refused.RetryAt.After(now), qt.IsTrue)
			q.Cancel(now, first)
			q.Cancel(now, first)
			mustSubmit(c, q, time.Time{})
		})
	}
}

// TestDeadlineWhileWaiting guards against a request that waits beyond its deadline, and against a run of a request that was
// refused, if its grant arrives after the refusal.
func TestDeadlineWhileWaiting(t *testing.T) {
	c := qt.New(t)
	q := newQueue(requestqueue.Limits{})
	id := mustSubmit(c, q, now.Add(time.Second))
	_, decisions := q.Tick(now)
	c.Assert(decisions, qt.HasLen, 0)
	_, decisions = q.Tick(now.Add(time.Second))
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Refusal.Code, qt.Equals, refusal.Expired)
	sendGrant(q, now.Add(time.Second), id, 5)
	envelopes, decisions := q.Tick(now.Add(time.Second))
	c.Assert(decisions, qt.HasLen, 0)
	c.Assert(endsByGrant(envelopes)[5].GetOutcome(), qt.Equals, fleetpb.Outcome_OUTCOME_UNUSED)
}

// TestDuplicateAndStaleGrants guards against a request that runs twice because of a second grant, a grant of a former
// scheduler, or a grant whose deadline has passed.
func TestDuplicateAndStaleGrants(t *testing.T) {
	c := qt.New(t)
	q := newQueue(requestqueue.Limits{})
	id, other := mustSubmit(c, q, time.Time{}), mustSubmit(c, q, time.Time{})
	q.Tick(now)
	sendGrant(q, now, id, 5)
	sendGrant(q, now, id, 6)
	q.Receive(now.Add(time.Minute), "s1", &fleetpb.Body{Kind: &fleetpb.Body_Grants{Grants: &fleetpb.Grants{
		Pool: poolName, Grants: []*fleetpb.Grant{{Request: other, Target: "t", Number: 8, Deadline: now.UnixMilli()}},
	}}})
	envelopes, decisions := q.Tick(now)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(envelopes[0].Body.GetAnnounce().GetDemands()[0].GetRequest(), qt.Equals, other)
	c.Check(endsByGrant(envelopes), qt.HasLen, 2)
	sendGrant(q, now, other, 7)
	_, more := q.Tick(now)
	decisions = append(decisions, more...)
	c.Assert(decisions, qt.HasLen, 2)
	c.Check(decisions[0].GrantNumber, qt.Equals, uint64(5))
	c.Check(decisions[1].GrantNumber, qt.Equals, uint64(7))

	third := mustSubmit(c, q, time.Time{})
	q.Connected(now, "s2", 1)
	q.UpdateView(now, viewWithScheduler("s2"))
	sendGrant(q, now, third, 9)
	envelopes, decisions = q.Tick(now)
	c.Assert(decisions, qt.HasLen, 0)
	c.Check(endsByGrant(envelopes)[9].GetOutcome(), qt.Equals, fleetpb.Outcome_OUTCOME_UNUSED)
	var synced []string
	for _, envelope := range envelopes {
		if sync := envelope.Body.GetSync(); sync != nil {
			synced = append(synced, envelope.To)
			c.Check(len(sync.GetDemands())+len(sync.GetRuns()), qt.Equals, map[string]int{"s1": 0, "s2": 3}[envelope.To])
		}
	}
	c.Check(synced, qt.DeepEquals, []string{"s1", "s2"})
}

// TestRequeue guards against a request that, after its target crashed, is lost, is sent to the same target again, or is
// reported as ended twice.
func TestRequeue(t *testing.T) {
	c := qt.New(t)
	q := newQueue(requestqueue.Limits{})
	id := mustSubmit(c, q, time.Time{})
	q.Tick(now)
	sendGrant(q, now, id, 5)
	q.Tick(now)
	q.Requeue(now, id, fleetpb.Outcome_OUTCOME_CRASHED, []string{"t"}, true)
	envelopes, _ := q.Tick(now)
	c.Assert(envelopes, qt.HasLen, 2)
	c.Check(endsByGrant(envelopes)[5].GetOutcome(), qt.Equals, fleetpb.Outcome_OUTCOME_CRASHED)
	demand := envelopes[1].Body.GetAnnounce().GetDemands()[0]
	c.Check(demand.GetApart(), qt.IsTrue)
	c.Check(demand.GetAvoid(), qt.DeepEquals, []string{"t"})
	sendGrant(q, now, id, 6)
	_, decisions := q.Tick(now)
	c.Check(decisions, qt.HasLen, 0)
	q.Finish(now, id, 0, fleetpb.Outcome_OUTCOME_DONE)
	q.Finish(now, id, 0, fleetpb.Outcome_OUTCOME_DONE)
	c.Check(q.CountsByCustomer(), qt.HasLen, 0)
}

// TestEstimatesFollowService guards against estimates that stay at the default although requests have run, both for new
// requests and for those that already wait.
func TestEstimatesFollowService(t *testing.T) {
	c := qt.New(t)
	q := newQueue(requestqueue.Limits{})
	for i := range uint64(3) {
		id := mustSubmit(c, q, time.Time{})
		sendGrant(q, now, id, i)
		q.Tick(now)
		q.Finish(now, id, requestqueue.TokenCost(0, 40), fleetpb.Outcome_OUTCOME_DONE)
	}
	q.Tick(now)
	waiting := mustSubmit(c, q, time.Time{})
	envelopes, _ := q.Tick(now)
	c.Assert(envelopes[0].Body.GetAnnounce().GetDemands()[0].GetEstimate(), qt.Equals, requestqueue.TokenCost(0, 40))

	id := mustSubmit(c, q, time.Time{})
	sendGrant(q, now, id, 9)
	q.Tick(now)
	q.Finish(now, id, requestqueue.TokenCost(0, 4000), fleetpb.Outcome_OUTCOME_DONE)
	q.Cancel(now, waiting)
	envelopes, _ = q.Tick(now)
	c.Assert(envelopes, qt.HasLen, 2)
	c.Assert(envelopes[1].Body.GetWithdraw().GetRequests(), qt.DeepEquals, []uint64{waiting})
	waiting = mustSubmit(c, q, time.Time{})
	envelopes, _ = q.Tick(now)
	c.Assert(envelopes[0].Body.GetAnnounce().GetDemands()[0].GetEstimate(), qt.Equals, requestqueue.TokenCost(0, 535))
	id = mustSubmit(c, q, time.Time{})
	sendGrant(q, now, id, 10)
	q.Tick(now)
	q.Finish(now, id, requestqueue.TokenCost(0, 8000), fleetpb.Outcome_OUTCOME_DONE)
	envelopes, _ = q.Tick(now)
	c.Assert(envelopes[1].Body.GetAnnounce().GetDemands()[0].GetRequest(), qt.Equals, waiting)
}
