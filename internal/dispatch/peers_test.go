package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// exchangeMessages delivers the due messages between two connected dispatchers.
func exchangeMessages(now time.Time, a, b *dispatch.Dispatcher) {
	for _, envelope := range a.Tick(now) {
		b.Receive(now, "a", envelope.Body)
	}
	for _, envelope := range b.Tick(now) {
		a.Receive(now, "b", envelope.Body)
	}
}

// newPeerPair returns two connected dispatchers with the same targets.
func newPeerPair(targets []dispatch.Target) (a, b *dispatch.Dispatcher) {
	a, b = dispatch.New(routerLocality, 1), dispatch.New(routerLocality, 2)
	a.SetTargets(startTime, targets)
	b.SetTargets(startTime, targets)
	a.AddPeer(startTime, dispatch.Peer{Name: "b", Region: "r"})
	b.AddPeer(startTime, dispatch.Peer{Name: "a", Region: "r"})
	return a, b
}

// TestPeersShareSlots guards against two routers that together send a target more requests than it runs at once. It also
// guards against slots that stay occupied by the runs of a disconnected router.
func TestPeersShareSlots(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 4))
	now := startTime
	for range 4 {
		now = now.Add(300 * time.Millisecond)
		a.RecordFirstByte(now, submitOne(t, a, now, newRequest(now, "c", 9)).ID, nil)
		exchangeMessages(now, a, b)
	}
	b.Submit(now, newRequest(now, "c", 9))
	qt.Check(t, b.TakeDecisions(), qt.HasLen, 0)
	b.RemovePeer(now, "a")
	b.SetTargets(now, newTargets(1, 4))
	qt.Check(t, b.TakeDecisions(), qt.HasLen, 1)
}

// TestPeersShareBacklog guards against routers that send prompts to the same target at once while another target has none to
// read.
func TestPeersShareBacklog(t *testing.T) {
	a, b := newPeerPair(newTargets(2, 32))
	first := submitOne(t, a, startTime, newRequest(startTime, "c", 8))
	exchangeMessages(startTime, a, b)
	second := submitOne(t, b, startTime, newRequest(startTime, "c", 9))
	qt.Check(t, second.Target.Name, qt.Not(qt.Equals), first.Target.Name)
}

// TestPeersShareParts guards against a prompt that is read again although another router had a target read it. This includes a
// router that started only afterwards.
func TestPeersShareParts(t *testing.T) {
	targets := newTargets(6, 32)
	a, b := newPeerPair(targets)
	first := submitOne(t, a, startTime, newRequest(startTime, "c", 9))
	answerAndFinish(a, startTime, first.ID)
	exchangeMessages(startTime, a, b)
	later := startTime.Add(time.Second)
	second := submitOne(t, b, later, newRequest(later, "c", 9))
	qt.Check(t, second.Target.Name, qt.Equals, first.Target.Name)
	qt.Check(t, second.PrefillTokens, qt.Equals, 1000)

	joined := dispatch.New(routerLocality, 3)
	joined.SetTargets(startTime, targets)
	a.AddPeer(startTime, dispatch.Peer{Name: "late", Region: "r"})
	joined.AddPeer(startTime, dispatch.Peer{Name: "a", Region: "r"})
	for _, envelope := range a.Tick(startTime.Add(time.Second)) {
		joined.Receive(startTime, "a", envelope.Body)
	}
	qt.Check(t, submitOne(t, joined, later, newRequest(later, "c", 9)).Target.Name, qt.Equals, first.Target.Name)
}

// TestPeersShareUsage guards against a customer that gets a full share at each of several routers.
func TestPeersShareUsage(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 2))
	now := startTime
	heavy := submitOne(t, a, now, newRequest(now, "heavy", 9))
	a.RecordFirstByte(now, heavy.ID, nil)
	light := submitOne(t, b, now, newRequest(now, "light", 9))
	b.RecordFirstByte(now, light.ID, nil)
	answerAndFinish(a, now, heavy.ID)
	exchangeMessages(now, a, b)
	again := submitOne(t, a, now.Add(30*time.Millisecond), newRequest(now, "heavy", 9))
	a.RecordFirstByte(now, again.ID, nil)
	exchangeMessages(now.Add(30*time.Millisecond), a, b)
	first := b.Submit(now, newRequest(now, "heavy", 9))
	second := b.Submit(now, newRequest(now, "other", 9))
	decisions := b.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, second)
	qt.Check(t, decisions[0].Refusal == nil, qt.IsTrue)
	b.Finish(now, light.ID, dispatch.Done)
	qt.Assert(t, b.TakeDecisions(), qt.HasLen, 0)
	b.Finish(now, second, dispatch.Done)
	decisions = b.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, first)
}

// TestCustomerIsNotShutOutByBusyPeer guards against starving customers of a router without runs: slots that become free at another
// router would always go to that router's own customers, although their usage is far higher. It also guards against capacity that
// stays free although a request waits.
func TestCustomerIsNotShutOutByBusyPeer(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 1))
	now := startTime
	run := submitOne(t, a, now, newRequest(now, "heavy", 9))
	a.RecordFirstByte(now, run.ID, nil)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		a.Finish(now, run.ID, dispatch.Done)
		run = submitOne(t, a, now, newRequest(now, "heavy", 9))
		a.RecordFirstByte(now, run.ID, nil)
		exchangeMessages(now, a, b)
	}
	now = now.Add(100 * time.Millisecond)
	light := submitOne(t, b, now, newRequest(now, "light", 9))
	qt.Assert(t, light.Refusal == nil, qt.IsTrue)
	now = now.Add(30 * time.Millisecond)
	exchangeMessages(now, a, b)
	next := a.Submit(now, newRequest(now, "heavy", 9))
	a.Finish(now, run.ID, dispatch.Done)
	qt.Assert(t, a.TakeDecisions(), qt.HasLen, 0, qt.Commentf("the slot was not left to the peer's request"))
	now = now.Add(30 * time.Millisecond)
	b.Finish(now, light.ID, dispatch.Done)
	exchangeMessages(now, a, b)
	exchangeMessages(now, a, b)
	decisions := a.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1, qt.Commentf("the slot is free and a request waits"))
	qt.Check(t, decisions[0].ID, qt.Equals, next)
	qt.Check(t, decisions[0].Refusal == nil, qt.IsTrue)
}

// TestHeadroomIsBounded guards against targets that get many more requests than they run at once because many customers are below
// their share.
func TestHeadroomIsBounded(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 16))
	now := startTime
	for range 16 {
		now = now.Add(100 * time.Millisecond)
		d.RecordFirstByte(now, submitOne(t, d, now, newRequest(now, "c", 9)).ID, nil)
	}
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		d.Submit(now, newRequest(now, fmt.Sprint("new", i), 9))
	}
	qt.Check(t, d.NumRunning(), qt.Equals, 18)
}

// TestShareCountsUsageAtAllRouters guards against a customer that exceeds its share by sending requests to several routers. It
// also guards against a share that leaves capacity idle while no other customer has requests.
func TestShareCountsUsageAtAllRouters(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 8))
	now := startTime
	serve := func(d *dispatch.Dispatcher, customer string) (served int) {
		d.Submit(now, newRequest(now, customer, 9))
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				served++
				d.RecordFirstByte(now.Add(20*time.Millisecond), decision.ID, nil)
				d.Finish(now.Add(30*time.Millisecond), decision.ID, dispatch.Done)
			}
		}
		return served
	}
	servedAlone := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		servedAlone += serve(a, "flood")
		exchangeMessages(now, a, b)
	}
	qt.Check(t, servedAlone, qt.Equals, 100)
	floodServed, deskServed := 0, 0
	for range 400 {
		now = now.Add(40 * time.Millisecond)
		for range 4 {
			floodServed += serve(a, "flood")
			floodServed += serve(b, "flood")
		}
		deskServed += serve(b, "desk")
		exchangeMessages(now, a, b)
	}
	qt.Check(t, deskServed > 200, qt.IsTrue, qt.Commentf("desk was served %d of 400 requests, flood %d", deskServed, floodServed))
}

// TestMessageRate guards against messages that use up the CPU of a large fleet, and against late messages in a small one.
func TestMessageRate(t *testing.T) {
	for _, c := range []struct {
		near, far int
		// maxTotal is the maximum number of messages per second to all peers, minPerNearPeer the minimum to each near peer.
		maxTotal, minPerNearPeer int
	}{
		{near: 2, far: 5, maxTotal: 130, minPerNearPeer: 35},
		{near: 30, far: 60, maxTotal: 400, minPerNearPeer: 7},
		{near: 120, far: 0, maxTotal: 370, minPerNearPeer: 2},
	} {
		d := dispatch.New(routerLocality, 1)
		d.SetTargets(startTime, newTargets(20, 1000))
		for i := range c.near + c.far {
			peer := dispatch.Peer{Name: fmt.Sprint("peer-", i), Region: "r"}
			if i >= c.near {
				peer.Region = "s"
			}
			d.AddPeer(startTime, peer)
		}
		sent := make(map[string]int)
		total := 0
		for at := time.Duration(0); at < time.Second; at += 5 * time.Millisecond {
			now := startTime.Add(at)
			d.Submit(now, dispatch.Request{
				Customer: "c", Service: "m", Objective: now.Add(time.Second), Deadline: now.Add(time.Second),
			})
			for _, envelope := range d.Tick(now) {
				sent[envelope.To]++
				total++
			}
		}
		note := qt.Commentf("%d near and %d far peers: %d messages", c.near, c.far, total)
		qt.Check(t, total <= c.maxTotal, qt.IsTrue, note)
		qt.Check(t, sent["peer-0"] >= c.minPerNearPeer, qt.IsTrue, note)
	}
}
