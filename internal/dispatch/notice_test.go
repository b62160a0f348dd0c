package dispatch_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// usedTargets submits requests that are answered at once and returns the number of those that each target got.
func usedTargets(t *testing.T, d *dispatch.Dispatcher, now time.Time, requests int) map[string]int {
	t.Helper()
	used := make(map[string]int)
	for i := range requests {
		decision := submitOne(t, d, now, newRequest(now, "c", uint64(100+i)))
		if decision.Refusal == nil {
			used[decision.Target.Name]++
			answerAndFinish(d, now, decision.ID)
		}
	}
	return used
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against requests for a target that leaves by its own answer while its record says that it
// is ready, also after the record was lost and came back from an older copy of the store. A new start of the target is used.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(2, 8)
	d.SetTargets(startTime, targets)
	qt.Check(t, d.RecordLeaving(startTime, targets[0]), qt.IsTrue)
	qt.Check(t, d.RecordLeaving(startTime, targets[0]), qt.IsFalse)
	qt.Check(t, d.Accepts(startTime, targets[0]), qt.IsFalse)
	qt.Check(t, usedTargets(t, d, startTime, 20), qt.DeepEquals, map[string]int{"e1": 20})
	d.SetTargets(startTime, targets[1:])
	d.SetTargets(startTime, targets)
	qt.Check(t, usedTargets(t, d, startTime, 20), qt.DeepEquals, map[string]int{"e1": 20})
	targets[0].StartUnixMilli = 5
	d.SetTargets(startTime, targets[:1])
	qt.Check(t, usedTargets(t, d, startTime, 20), qt.DeepEquals, map[string]int{"e0": 20})
}

// startedTargets returns targets that tell their start.
func startedTargets(count, slots int, startUnixMilli int64) []dispatch.Target {
	targets := newTargets(count, slots)
	for i := range targets {
		targets[i].StartUnixMilli = startUnixMilli
	}
	return targets
}

// withLeaving returns the targets with a record of the first one that says that it leaves.
func withLeaving(targets []dispatch.Target) []dispatch.Target {
	changed := slices.Clone(targets)
	changed[0].Leaving = true
	return changed
}

// TestOlderRecordDoesNotTakeLeavingBack guards against requests for a target whose record said that it leaves, after the store came back from an
// older copy of the record, and against leaving out a later start of the target.
func TestOlderRecordDoesNotTakeLeavingBack(t *testing.T) {
	for _, isListedMeanwhile := range []bool{true, false} {
		d := dispatch.New(routerLocality, 1)
		targets := startedTargets(2, 8, 4)
		d.SetTargets(startTime, targets)
		d.SetTargets(startTime, withLeaving(targets))
		if !isListedMeanwhile {
			d.SetTargets(startTime, targets[1:])
		}
		d.SetTargets(startTime, targets)
		qt.Check(t, d.Accepts(startTime, targets[0]), qt.IsFalse)
		qt.Check(t, usedTargets(t, d, startTime, 20), qt.DeepEquals, map[string]int{"e1": 20})
		d.SetTargets(startTime, startedTargets(1, 8, 5))
		qt.Check(t, usedTargets(t, d, startTime, 20), qt.DeepEquals, map[string]int{"e0": 20})
	}
}

// TestPeerLearnsThatOlderRecordIsWrong guards against a router that has just started, reads an older copy of a record, and sends to a target
// whose record has told its peers that it leaves.
func TestPeerLearnsThatOlderRecordIsWrong(t *testing.T) {
	for _, linkedFirst := range []bool{true, false} {
		targets := startedTargets(2, 8, 4)
		old, late := dispatch.New(routerLocality, 1), dispatch.New(routerLocality, 2)
		old.SetTargets(startTime, withLeaving(targets))
		if linkedFirst {
			old.SetTargets(startTime, targets[1:])
		}
		link := func() {
			old.AddPeer(startTime, dispatch.Peer{Name: "b", Region: "r"})
			late.AddPeer(startTime, dispatch.Peer{Name: "a", Region: "r"})
			exchangeMessages(startTime, old, late)
		}
		if linkedFirst {
			link()
		}
		old.SetTargets(startTime, targets)
		late.SetTargets(startTime, targets)
		if !linkedFirst {
			link()
		}
		now := startTime.Add(time.Second)
		exchangeMessages(now, old, late)
		qt.Check(t, usedTargets(t, late, now, 20), qt.DeepEquals, map[string]int{"e1": 20}, qt.Commentf("linked first: %t", linkedFirst))
	}
}

// TestWaitingRequestsLeaveWithTheirTarget guards against requests that wait for the only target until their time is up although it leaves.
func TestWaitingRequestsLeaveWithTheirTarget(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(1, 1)
	d.SetTargets(startTime, targets)
	for range 3 {
		d.Submit(startTime, newRequest(startTime, "c", 9))
	}
	waiting := d.NumWaiting()
	qt.Assert(t, waiting > 0, qt.IsTrue)
	d.TakeDecisions()
	d.RecordLeaving(startTime, targets[0])
	decisions := d.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, waiting)
	for _, decision := range decisions {
		qt.Check(t, decision.Refusal != nil, qt.IsTrue)
	}
}

// TestPeersLearnThatTargetLeaves guards against routers that go on sending to a target until it has answered each of them.
func TestPeersLearnThatTargetLeaves(t *testing.T) {
	targets := newTargets(2, 8)
	a, b := newPeerPair(targets)
	a.RecordLeaving(startTime, targets[0])
	now := startTime.Add(time.Second)
	exchangeMessages(now, a, b)
	qt.Check(t, usedTargets(t, b, now, 20), qt.DeepEquals, map[string]int{"e1": 20})
	late := dispatch.New(routerLocality, 3)
	late.AddPeer(now, dispatch.Peer{Name: "b", Region: "r"})
	late.SetTargets(now, targets)
	b.AddPeer(now, dispatch.Peer{Name: "late", Region: "r"})
	for _, envelope := range b.Tick(now) {
		if envelope.To == "late" {
			late.Receive(now, "b", envelope.Body)
		}
	}
	qt.Check(t, usedTargets(t, late, now, 20), qt.DeepEquals, map[string]int{"e1": 20})
}

// TestPausedTargetGetsNoRequests guards against requests for a target before its pause ends, also if the target asks for a shorter one
// later or its record comes back.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(2, 8)
	d.SetTargets(startTime, targets)
	until := startTime.Add(5 * time.Second)
	qt.Check(t, d.RecordPause(startTime, targets[0], until), qt.IsTrue)
	qt.Check(t, d.RecordPause(startTime, targets[0], startTime.Add(time.Second)), qt.IsFalse)
	d.SetTargets(startTime, targets[1:])
	d.SetTargets(startTime, targets)
	for now := startTime; now.Before(until); now = now.Add(200 * time.Millisecond) {
		qt.Assert(t, usedTargets(t, d, now, 5), qt.DeepEquals, map[string]int{"e1": 5})
	}
	qt.Check(t, d.Notices(startTime), qt.HasLen, 1)
	d.SetTargets(until, targets[:1])
	qt.Check(t, usedTargets(t, d, until.Add(3*time.Second), 20), qt.DeepEquals, map[string]int{"e0": 20})
}

// TestLoadReturnsStepByStepAfterPause guards against a target that gets as many requests as it has slots the moment its pause ends.
func TestLoadReturnsStepByStepAfterPause(t *testing.T) {
	const slots = 16
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(1, slots)
	d.SetTargets(startTime, targets)
	until := startTime.Add(time.Second)
	d.RecordPause(startTime, targets[0], until)
	started := 0
	for now := until; now.Before(until.Add(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
		d.Submit(now, newRequest(now, "c", 9))
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				started++
				d.RecordFirstByte(now, decision.ID, nil)
			}
		}
		if elapsed := now.Sub(until); elapsed < 300*time.Millisecond {
			qt.Assert(t, started <= 3, qt.IsTrue, qt.Commentf("%d runs %v after the pause", started, elapsed))
		}
	}
	qt.Check(t, started >= slots, qt.IsTrue, qt.Commentf("%d runs", started))
}

// TestSuccessEndsPause guards against a pause that outlasts the need for it, and against the end of a pause by an answer to a request that
// was sent before.
func TestSuccessEndsPause(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(1, 8)
	d.SetTargets(startTime, targets)
	before := submitOne(t, d, startTime, newRequest(startTime, "c", 9))
	now := startTime.Add(10 * time.Millisecond)
	d.RecordPause(now, targets[0], now.Add(50*time.Millisecond))
	later := now.Add(time.Second)
	after := submitOne(t, d, later, newRequest(later, "c", 9))
	qt.Assert(t, after.Refusal == nil, qt.IsTrue)
	d.RecordPause(later.Add(-time.Millisecond), targets[0], later.Add(10*time.Second))
	d.RecordSuccess(later, before.ID)
	qt.Check(t, d.Accepts(later, targets[0]), qt.IsFalse)
	d.RecordSuccess(later, after.ID)
	qt.Check(t, d.Accepts(later, targets[0]), qt.IsTrue)
}

// TestRequestsAreRefusedWhileAllTargetsPause guards against requests that wait although no target will take them, and against callers that
// all come back at the same moment, or before the first pause ends.
func TestRequestsAreRefusedWhileAllTargetsPause(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newTargets(2, 1)
	d.SetTargets(startTime, targets)
	for range 4 {
		d.Submit(startTime, newRequest(startTime, "c", 9))
	}
	waiting := d.NumWaiting()
	qt.Assert(t, waiting > 0, qt.IsTrue)
	d.TakeDecisions()
	first, second := startTime.Add(2*time.Second), startTime.Add(4*time.Second)
	d.RecordPause(startTime, targets[0], second)
	qt.Check(t, d.TakeDecisions(), qt.HasLen, 0)
	d.RecordPause(startTime, targets[1], first)
	qt.Check(t, d.TakeDecisions(), qt.HasLen, waiting)
	var earliest, latest time.Time
	for range 50 {
		refused := submitOne(t, d, startTime, newRequest(startTime, "c", 9)).Refusal
		qt.Assert(t, refused != nil, qt.IsTrue)
		if earliest.IsZero() || refused.RetryAt.Before(earliest) {
			earliest = refused.RetryAt
		}
		if refused.RetryAt.After(latest) {
			latest = refused.RetryAt
		}
	}
	qt.Check(t, earliest.Before(first), qt.IsFalse)
	qt.Check(t, latest.Sub(earliest) > 500*time.Millisecond, qt.IsTrue)
	qt.Check(t, latest.Before(second), qt.IsTrue)
}
