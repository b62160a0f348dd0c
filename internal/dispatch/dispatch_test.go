package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

var start = time.Unix(1000, 0)

// here is the place of the router under test.
var here = dispatch.Locality{Zone: "a", Region: "r"}

// engines returns a number of targets of the service m in the router's zone.
func engines(count, slots int) []dispatch.Target {
	targets := make([]dispatch.Target, 0, count)
	for i := range count {
		targets = append(targets, dispatch.Target{
			Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "m", Zone: "a", Region: "r",
			Slots: slots,
		})
	}
	return targets
}

// request returns a request of a customer with a session of 4,000 shared tokens.
func request(now time.Time, customer string, session uint64) dispatch.Request {
	return dispatch.Request{
		Customer: customer, Service: "m", PromptTokens: 5000, MaxOutputTokens: 100,
		Parts:     []dispatch.Part{{ID: 1, Tokens: 500}, {ID: session, Tokens: 3500}},
		Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(10 * time.Second),
	}
}

// one submits a request and returns the only decision.
func one(t *testing.T, d *dispatch.Dispatcher, now time.Time, r dispatch.Request) dispatch.Decision {
	t.Helper()
	id := d.Submit(now, r)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Assert(t, decisions[0].ID, qt.Equals, id)
	return decisions[0]
}

// finish ends a request that was answered in full.
func finish(d *dispatch.Dispatcher, now time.Time, id uint64) {
	d.RecordFirstByte(now, id, nil)
	d.Finish(now, id, dispatch.Done)
}

// TestSession guards against a session whose prompt is read again by another target although its own one has room.
func TestSession(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(6, 32))
	now := start
	homes := make(map[uint64]string)
	for round := range 5 {
		for session := range uint64(40) {
			now = now.Add(20 * time.Millisecond)
			decision := one(t, d, now, request(now, "c", 100+session))
			if round > 0 {
				qt.Check(t, decision.Target.Name, qt.Equals, homes[session])
				qt.Check(t, decision.PrefillTokens, qt.Equals, 1000)
			}
			homes[session] = decision.Target.Name
			finish(d, now.Add(10*time.Millisecond), decision.ID)
		}
	}
}

// TestHotSession guards against a queue at the target of a session that gets much of the traffic while others idle, and
// against prompts that are read again there instead of being fetched.
func TestHotSession(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(6, 4))
	now := start
	used := make(map[string]int)
	fetched := 0
	running := make([]uint64, 0, 24)
	for range 24 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range running {
			d.RecordData(now, id) // The streams go on.
		}
		decision := one(t, d, now, request(now, "c", 7))
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

// TestFlood guards against a customer that starves because another one floods: the waiting requests of the one that got
// least are served first, and the flood's are refused.
func TestFlood(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(1, 4))
	now := start
	served, refused, asked := make(map[string]int), make(map[string]int), make(map[string]int)
	owner := make(map[uint64]string)
	var running []uint64
	take := func() {
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
		asked[customer]++
		owner[d.Submit(now, request(now, customer, 9))] = customer
		take()
	}
	for step := range 400 {
		now = now.Add(25 * time.Millisecond)
		if len(running) > 0 {
			d.Finish(now, running[0], dispatch.Done)
			running = running[1:]
			take()
		}
		for range 5 {
			submit("flood")
		}
		if step%4 == 0 {
			submit("desk")
		}
	}
	qt.Check(t, served["desk"] >= asked["desk"]*9/10, qt.IsTrue, qt.Commentf("%v of %v", served, asked))
	qt.Check(t, served["flood"] >= 200, qt.IsTrue, qt.Commentf("capacity is idle: %v", served))
}

// TestRefusedSpread guards against refused requests that all come back at the same moment, and against a refusal of a
// request that a target got.
func TestRefusedSpread(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(1, 1))
	pauses := make(map[time.Duration]bool)
	placed := make(map[uint64]bool)
	for range 50 {
		d.Submit(start, request(start, "c", 9))
	}
	for _, decision := range d.TakeDecisions() {
		if decision.Refusal == nil {
			placed[decision.ID] = true
			continue
		}
		qt.Check(t, placed[decision.ID], qt.IsFalse)
		qt.Check(t, decision.Refusal.Ran, qt.Equals, refusal.RanNo)
		pauses[decision.Refusal.RetryAt.Sub(start)] = true
	}
	qt.Check(t, placed, qt.HasLen, 1)
	qt.Check(t, len(pauses) > 40, qt.IsTrue, qt.Commentf("%d different pauses", len(pauses)))
}

// TestAbsent guards against a request that waits for a service that no target serves.
func TestAbsent(t *testing.T) {
	d := dispatch.New(here, 1)
	targets := engines(1, 4)
	targets[0].Leaving = true
	d.SetTargets(start, targets)
	decision := one(t, d, start, request(start, "c", 9))
	qt.Assert(t, decision.Refusal, qt.Not(qt.IsNil))
	qt.Check(t, decision.Refusal.Code, qt.Equals, refusal.NoTarget)
}

// TestLeaving guards against new requests for a target that leaves, and against the loss of a run that is still there.
func TestLeaving(t *testing.T) {
	d := dispatch.New(here, 1)
	targets := engines(2, 4)
	d.SetTargets(start, targets)
	first := one(t, d, start, request(start, "c", 9))
	for i := range targets {
		targets[i].Leaving = targets[i].Name == first.Target.Name
	}
	d.SetTargets(start, targets)
	for range 4 {
		decision := one(t, d, start, request(start, "c", 9))
		qt.Check(t, decision.Target.Name, qt.Not(qt.Equals), first.Target.Name)
		d.RecordFirstByte(start, decision.ID, nil)
	}
	qt.Check(t, d.NumRunning(), qt.Equals, 5)
	finish(d, start, first.ID)
	qt.Check(t, d.NumRunning(), qt.Equals, 4)
}

// TestStalled guards against requests for a target that has accepted requests and answers none.
func TestStalled(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(2, 32))
	silent := one(t, d, start, request(start, "c", 9))
	now := start.Add(2 * time.Second)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		decision := one(t, d, now, request(now, "c", 9))
		qt.Check(t, decision.Target.Name, qt.Not(qt.Equals), silent.Target.Name)
		finish(d, now.Add(40*time.Millisecond), decision.ID)
	}
}

// TestRestart guards against a target that is believed to hold parts of prompts that it read before it started again.
func TestRestart(t *testing.T) {
	d := dispatch.New(here, 1)
	targets := engines(1, 4)
	d.SetTargets(start, targets)
	finish(d, start, one(t, d, start, request(start, "c", 9)).ID)
	targets[0].StartUnixMilli = 5
	d.SetTargets(start, targets)
	qt.Check(t, one(t, d, start, request(start, "c", 9)).PrefillTokens, qt.Equals, 5000)
}

// TestExpire guards against a request that waits although its objective cannot be met any more, and against a refusal
// that nobody learns.
func TestExpire(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(1, 1))
	one(t, d, start, request(start, "c", 9))
	waiting := d.Submit(start, request(start, "c", 9))
	qt.Assert(t, d.TakeDecisions(), qt.HasLen, 0)
	until := d.WaitDeadline(waiting)
	qt.Check(t, until.After(start.Add(100*time.Millisecond)) && until.Before(start.Add(500*time.Millisecond)), qt.IsTrue)
	d.Expire(until, waiting)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Refusal, qt.Not(qt.IsNil))
	qt.Check(t, d.NumWaiting(), qt.Equals, 0)
}

// TestCrashed guards against requests that are sent to targets that accept no connection because all others are full: each
// of them would fail, where waiting a moment serves it.
func TestCrashed(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(2, 1))
	crashed := one(t, d, start, request(start, "c", 9))
	d.Finish(start, crashed.ID, dispatch.Unreachable)
	now := start.Add(10 * time.Millisecond)
	busy := one(t, d, now, request(now, "c", 9))
	qt.Assert(t, busy.Target.Name, qt.Not(qt.Equals), crashed.Target.Name)
	d.RecordFirstByte(now, busy.ID, nil)
	waiting := d.Submit(now, request(now, "c", 9))
	qt.Assert(t, d.TakeDecisions(), qt.HasLen, 0)
	d.Finish(now, busy.ID, dispatch.Done)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, waiting)
	qt.Check(t, decisions[0].Target.Name, qt.Equals, busy.Target.Name)
}

// TestBehind guards against more prompts for a target that reads slower than expected: they would wait behind what it has
// not read, where nothing can pass them. It also guards against a target that counts as behind after it has caught up.
func TestBehind(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(1, 64))
	now := start
	var running []uint64
	refused := 0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		id := d.Submit(now, request(now, "c", 9))
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
		finish(d, now, id)
	}
	before := d.NumWaiting()
	now = now.Add(time.Second)
	d.Submit(now, request(now, "c", 9))
	qt.Check(t, d.NumWaiting() <= before, qt.IsTrue)
}

// TestRepeated guards against a stream that breaks for good with its target, because its customer has got its share or its
// objective has passed meanwhile: the caller has a part of the answer already.
func TestRepeated(t *testing.T) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(2, 1))
	now := start
	first := one(t, d, now, request(now, "flood", 9))
	d.RecordFirstByte(now, first.ID, nil)
	second := one(t, d, now, request(now, "flood", 8))
	d.RecordFirstByte(now, second.ID, nil)
	for range 10 {
		d.Submit(now, request(now, "desk", 7)) // Others ask for the room.
	}
	d.TakeDecisions()
	now = now.Add(2 * time.Second)
	d.Finish(now, first.ID, dispatch.Broken)
	d.TakeDecisions()
	again := request(start, "flood", 9)
	again.ExcludedTargets = []string{first.Target.Name}
	d.Retry(now, first.ID, again)
	for _, decision := range d.TakeDecisions() {
		qt.Check(t, decision.ID, qt.Not(qt.Equals), first.ID, qt.Commentf("%v", decision.Refusal))
	}
	qt.Check(t, d.WaitDeadline(first.ID).After(now.Add(300*time.Millisecond)), qt.IsTrue)
	d.Finish(now, second.ID, dispatch.Done)
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, first.ID)
	qt.Check(t, decisions[0].Refusal == nil, qt.IsTrue)
}
