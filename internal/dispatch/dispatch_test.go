package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

var startTime = time.Unix(1000, 0)

// routerLocality is the locality of the router under test.
var routerLocality = dispatch.Locality{Zone: "a", Region: "r"}

// newTargets returns targets of service m in the router's availability zone.
func newTargets(count, slots int) []dispatch.Target {
	targets := make([]dispatch.Target, 0, count)
	for i := range count {
		targets = append(targets, dispatch.Target{
			Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "m", Zone: "a", Region: "r",
			Slots: slots,
		})
	}
	return targets
}

// newRequest returns a request of 5,000 prompt tokens. The first 4,000 are shared: 500 by all requests, 3,500 by those of the
// session.
func newRequest(now time.Time, customer string, session uint64) dispatch.Request {
	return dispatch.Request{
		Customer: customer, Service: "m", PromptTokens: 5000, MaxOutputTokens: 100,
		Parts:     []dispatch.Part{{ID: 1, Tokens: 500}, {ID: session, Tokens: 3500}},
		Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(10 * time.Second),
	}
}

// submitOne submits a request and returns its decision, which must be the only pending one.
func submitOne(t *testing.T, d *dispatch.Dispatcher, now time.Time, r dispatch.Request) dispatch.Decision {
	t.Helper()
	id := d.Submit(now, r)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Assert(t, decisions[0].ID, qt.Equals, id)
	return decisions[0]
}

// answerAndFinish records a complete answer to a request.
func answerAndFinish(d *dispatch.Dispatcher, now time.Time, id uint64) {
	d.RecordFirstByte(now, id, nil)
	d.Finish(now, id, dispatch.Done)
}

// TestSessionStaysAtItsTarget guards against a session that moves to another target, which has to read its prompt again,
// although the target that has it cached has free slots.
func TestSessionStaysAtItsTarget(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(6, 32))
	now := startTime
	homes := make(map[uint64]string)
	for round := range 5 {
		for session := range uint64(40) {
			now = now.Add(20 * time.Millisecond)
			decision := submitOne(t, d, now, newRequest(now, "c", 100+session))
			if round > 0 {
				qt.Check(t, decision.Target.Name, qt.Equals, homes[session])
				qt.Check(t, decision.PrefillTokens, qt.Equals, 1000)
			}
			homes[session] = decision.Target.Name
			answerAndFinish(d, now.Add(10*time.Millisecond), decision.ID)
		}
	}
}

// TestHotSessionSpreadsAndFetchesParts guards against a queue at the target of a busy session while other targets are idle. It
// also guards against targets that read the session's prompt again instead of fetching it from that target's cache.
func TestHotSessionSpreadsAndFetchesParts(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(6, 4))
	now := startTime
	used := make(map[string]int)
	fetched := 0
	running := make([]uint64, 0, 24)
	for range 24 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range running {
			d.RecordData(now, id) // The streams continue.
		}
		decision := submitOne(t, d, now, newRequest(now, "c", 7))
		qt.Assert(t, decision.Refusal == nil, qt.IsTrue)
		used[decision.Target.Name]++
		d.RecordFirstByte(now.Add(50*time.Millisecond), decision.ID, nil)
		running = append(running, decision.ID)
		if decision.CacheSource != "" {
			fetched++
			qt.Check(t, decision.CacheSource, qt.Not(qt.Equals), decision.Target.Address)
		}
	}
	qt.Check(t, used, qt.HasLen, 6)
	qt.Check(t, fetched, qt.Equals, 5)
}

// TestFloodDoesNotStarveOtherCustomer guards against a customer that starves while another one floods the service. Waiting
// requests of the customer with the least usage must be served first. It also guards against capacity that stays idle although
// the flooding customer has requests.
func TestFloodDoesNotStarveOtherCustomer(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 4))
	now := startTime
	served, refused, submitted := make(map[string]int), make(map[string]int), make(map[string]int)
	owner := make(map[uint64]string)
	var running []uint64
	takeDecisions := func() {
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal != nil {
				refused[owner[decision.ID]]++
				continue
			}
			served[owner[decision.ID]]++
			running = append(running, decision.ID)
			d.RecordFirstByte(now, decision.ID, nil)
		}
	}
	submit := func(customer string) {
		submitted[customer]++
		owner[d.Submit(now, newRequest(now, customer, 9))] = customer
		takeDecisions()
	}
	for step := range 400 {
		now = now.Add(25 * time.Millisecond)
		if len(running) > 0 {
			d.Finish(now, running[0], dispatch.Done)
			running = running[1:]
			takeDecisions()
		}
		for range 5 {
			submit("flood")
		}
		if step%4 == 0 {
			submit("desk")
		}
	}
	qt.Check(t, served["desk"] >= submitted["desk"]*9/10, qt.IsTrue, qt.Commentf("served %v of %v", served, submitted))
	qt.Check(t, served["flood"] >= 200, qt.IsTrue, qt.Commentf("capacity is idle: served %v", served))
}

// TestRetryTimesAreSpread guards against refused requests that all return at the same moment. It also guards against a refusal
// of a request that has been given a target.
func TestRetryTimesAreSpread(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 1))
	delays := make(map[time.Duration]bool)
	placed := make(map[uint64]bool)
	for range 50 {
		d.Submit(startTime, newRequest(startTime, "c", 9))
	}
	for _, decision := range d.TakeDecisions() {
		if decision.Refusal == nil {
			placed[decision.ID] = true
			continue
		}
		qt.Check(t, placed[decision.ID], qt.IsFalse)
		qt.Check(t, decision.Refusal.Execution, qt.Equals, refusal.NotExecuted)
		delays[decision.Refusal.RetryAt.Sub(startTime)] = true
	}
	qt.Check(t, placed, qt.HasLen, 1)
	qt.Check(t, len(delays) > 40, qt.IsTrue, qt.Commentf("%d different retry delays", len(delays)))
}

// TestRequestWithoutTargetIsRefused guards against a request that waits although no target of its service accepts requests.
func TestRequestWithoutTargetIsRefused(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(1, 4)
	targets[0].Leaving = true
	d.SetTargets(startTime, targets)
	decision := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	qt.Assert(t, decision.Refusal != nil, qt.IsTrue)
	qt.Check(t, decision.Refusal.Code, qt.Equals, refusal.NoTarget)
}

// TestLeavingTargetGetsNoNewRequests guards against new requests for a leaving target, and against the loss of a run that it
// still has.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(2, 4)
	d.SetTargets(startTime, targets)
	first := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	for i := range targets {
		targets[i].Leaving = targets[i].Name == first.Target.Name
	}
	d.SetTargets(startTime, targets)
	for range 4 {
		decision := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
		qt.Check(t, decision.Target.Name, qt.Not(qt.Equals), first.Target.Name)
		d.RecordFirstByte(startTime, decision.ID, nil)
	}
	qt.Check(t, d.NumRunning(), qt.Equals, 5)
	answerAndFinish(d, startTime, first.ID)
	qt.Check(t, d.NumRunning(), qt.Equals, 4)
}

// TestStalledTargetGetsNoRequests guards against new requests for a target that accepts requests and does not answer them.
func TestStalledTargetGetsNoRequests(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(2, 32))
	stalled := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	now := startTime.Add(2 * time.Second)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		decision := submitOne(t, d, now, newRequest(now, "c", 9))
		qt.Check(t, decision.Target.Name, qt.Not(qt.Equals), stalled.Target.Name)
		answerAndFinish(d, now.Add(40*time.Millisecond), decision.ID)
	}
}

// TestRestartedTargetHasEmptyCache guards against cached parts that are still attributed to a target after its restart.
func TestRestartedTargetHasEmptyCache(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(1, 4)
	d.SetTargets(startTime, targets)
	answerAndFinish(d, startTime, submitOne(t, d, startTime, newRequest(startTime, "c", 9)).ID)
	targets[0].StartUnixMilli = 5
	d.SetTargets(startTime, targets)
	qt.Check(t, submitOne(t, d, startTime, newRequest(startTime, "c", 9)).PrefillTokens, qt.Equals, 5000)
}

// TestExpireRefusesWaitingRequest guards against a request that waits longer than its objective allows, and against an expiry
// without a refusal for the caller.
func TestExpireRefusesWaitingRequest(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 1))
	submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	waiting := d.Submit(startTime, newRequest(startTime, "c", 9))
	qt.Assert(t, d.TakeDecisions(), qt.HasLen, 0)
	deadline := d.WaitDeadline(waiting)
	qt.Check(t, deadline.After(startTime.Add(100*time.Millisecond)) && deadline.Before(startTime.Add(500*time.Millisecond)),
		qt.IsTrue)
	d.Expire(deadline, waiting)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Refusal != nil, qt.IsTrue)
	qt.Check(t, d.NumWaiting(), qt.Equals, 0)
}

// TestUnreachableTargetIsNotUsedWhileOthersAreFull guards against requests that are sent to an unreachable target because all
// others are full. They would fail, whereas a short wait lets them be served.
func TestUnreachableTargetIsNotUsedWhileOthersAreFull(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(2, 1))
	unreachable := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	d.Finish(startTime, unreachable.ID, dispatch.Unreachable)
	now := startTime.Add(10 * time.Millisecond)
	busy := submitOne(t, d, now, newRequest(now, "c", 9))
	qt.Assert(t, busy.Target.Name, qt.Not(qt.Equals), unreachable.Target.Name)
	d.RecordFirstByte(now, busy.ID, nil)
	waiting := d.Submit(now, newRequest(now, "c", 9))
	qt.Assert(t, d.TakeDecisions(), qt.HasLen, 0)
	d.Finish(now, busy.ID, dispatch.Done)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, waiting)
	qt.Check(t, decisions[0].Target.Name, qt.Equals, busy.Target.Name)
}

// TestOwnDelayDoesNotBlockTarget guards against a target that gets no requests because the router had no processor time to connect to it.
func TestOwnDelayDoesNotBlockTarget(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(2, 1))
	delayed := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	d.Finish(startTime, delayed.ID, dispatch.Delayed)
	now := startTime.Add(10 * time.Millisecond)
	first := submitOne(t, d, now, newRequest(now, "c", 9))
	d.RecordFirstByte(now, first.ID, nil)
	second := submitOne(t, d, now, newRequest(now, "c", 9))
	qt.Check(t, second.Target.Name, qt.Not(qt.Equals), first.Target.Name)
}

// TestDecisionDoesNotOutliveItsTarget guards against a request that a late router sends to a target which began to leave, was removed or
// started again since it was chosen.
func TestDecisionDoesNotOutliveItsTarget(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 1))
	chosen := submitOne(t, d, startTime, newRequest(startTime, "c", 9)).Target
	qt.Check(t, d.Accepts(startTime, chosen), qt.IsTrue)
	leaving := newTargets(1, 1)
	leaving[0].Leaving = true
	d.SetTargets(startTime, leaving)
	qt.Check(t, d.Accepts(startTime, chosen), qt.IsFalse)
	restarted := newTargets(1, 1)
	restarted[0].StartUnixMilli = chosen.StartUnixMilli + 1
	d.SetTargets(startTime, restarted)
	qt.Check(t, d.Accepts(startTime, chosen), qt.IsFalse)
	d.SetTargets(startTime, nil)
	qt.Check(t, d.Accepts(startTime, chosen), qt.IsFalse)
}

// TestTargetBehindScheduleGetsNoMorePrompts guards against more prompts for a target that reads slower than predicted. They
// would wait there behind unread prompts and could not be moved. It also guards against a target that still counts as behind
// after it has answered.
func TestTargetBehindScheduleGetsNoMorePrompts(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 64))
	now := startTime
	var running []uint64
	refused := 0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		id := d.Submit(now, newRequest(now, "c", 9))
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				running = append(running, id)
			} else {
				refused++
			}
		}
	}
	qt.Check(t, len(running) < 20, qt.IsTrue, qt.Commentf("a target that answers nothing got %d requests", len(running)))
	for _, id := range running {
		answerAndFinish(d, now, id)
	}
	before := d.NumWaiting()
	now = now.Add(time.Second)
	d.Submit(now, newRequest(now, "c", 9))
	qt.Check(t, d.NumWaiting() <= before, qt.IsTrue)
}

// TestRetryIsQueuedNotRefused guards against a retry that is refused because its customer has used its share or its objective
// has passed. The caller already has a part of the answer, so a refusal would break its stream for good.
func TestRetryIsQueuedNotRefused(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(2, 1))
	now := startTime
	first := submitOne(t, d, now, newRequest(now, "flood", 9))
	d.RecordFirstByte(now, first.ID, nil)
	second := submitOne(t, d, now, newRequest(now, "flood", 8))
	d.RecordFirstByte(now, second.ID, nil)
	for range 10 {
		d.Submit(now, newRequest(now, "desk", 7)) // Another customer competes for the slots.
	}
	d.TakeDecisions()
	now = now.Add(2 * time.Second)
	d.Finish(now, first.ID, dispatch.Broken)
	d.TakeDecisions()
	retry := newRequest(startTime, "flood", 9)
	retry.ExcludedTargets = []string{first.Target.Name}
	d.Retry(now, first.ID, retry)
	for _, decision := range d.TakeDecisions() {
		qt.Check(t, decision.ID, qt.Not(qt.Equals), first.ID, qt.Commentf("%v", decision.Refusal))
	}
	qt.Check(t, d.WaitDeadline(first.ID).After(now.Add(300*time.Millisecond)), qt.IsTrue)
	d.Finish(now, second.ID, dispatch.Done)
	decisions := d.TakeDecisions()
	qt.Assert(t, len(decisions) > 0, qt.IsTrue)
	qt.Check(t, decisions[0].ID, qt.Equals, first.ID)
	qt.Check(t, decisions[0].Refusal == nil, qt.IsTrue)
}

// TestRetryIsNotShed guards against a retry that is refused because too many requests wait, although its caller may have a part of
// the answer.
func TestRetryIsNotShed(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 1))
	now := startTime
	first := submitOne(t, d, now, newRequest(now, "flood", 9))
	for range 5 {
		now = now.Add(50 * time.Millisecond)
		answerAndFinish(d, now, first.ID)
		first = submitOne(t, d, now, newRequest(now, "flood", 9))
	}
	d.RecordFirstByte(now, first.ID, nil)
	d.Retry(now, 1000, newRequest(now, "flood", 9))
	for range 10 {
		d.Submit(now, newRequest(now, "desk", 8))
	}
	for _, decision := range d.TakeDecisions() {
		qt.Check(t, decision.ID != 1000 || decision.Refusal == nil, qt.IsTrue, qt.Commentf("%v", decision.Refusal))
	}
}
