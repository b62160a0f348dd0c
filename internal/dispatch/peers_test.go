package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// exchange carries the messages that are due between two linked dispatchers.
func exchange(now time.Time, a, b *dispatch.Dispatcher) {
	for _, envelope := range a.Tick(now) {
		b.Receive(now, "a", envelope.Body)
	}
	for _, envelope := range b.Tick(now) {
		a.Receive(now, "b", envelope.Body)
	}
}

// pair returns two linked dispatchers that know the same targets.
func pair(targets []dispatch.Target) (a, b *dispatch.Dispatcher) {
	a, b = dispatch.New(here, 1), dispatch.New(here, 2)
	a.SetTargets(start, targets)
	b.SetTargets(start, targets)
	a.AddPeer(start, dispatch.Peer{Name: "b", Region: "r"})
	b.AddPeer(start, dispatch.Peer{Name: "a", Region: "r"})
	return a, b
}

// TestPeersShareSlots guards against two routers that together send more to a target than it runs at once, and against
// slots that stay blocked by a router that is gone.
func TestPeersShareSlots(t *testing.T) {
	a, b := pair(engines(1, 4))
	now := start
	for range 4 {
		now = now.Add(300 * time.Millisecond)
		a.RecordFirstByte(now, one(t, a, now, request(now, "c", 9)).ID, nil)
		exchange(now, a, b)
	}
	b.Submit(now, request(now, "d", 9))
	qt.Check(t, b.TakeDecisions(), qt.HasLen, 0)
	b.RemovePeer("a")
	b.SetTargets(now, engines(1, 4))
	qt.Check(t, b.TakeDecisions(), qt.HasLen, 1)
}

// TestPeersShareBacklog guards against prompts that several routers send to the same target at once while another one
// has nothing to read.
func TestPeersShareBacklog(t *testing.T) {
	a, b := pair(engines(2, 32))
	first := one(t, a, start, request(start, "c", 8))
	exchange(start, a, b)
	second := one(t, b, start, request(start, "c", 9))
	qt.Check(t, second.Target.Name, qt.Not(qt.Equals), first.Target.Name)
}

// TestPeersShareParts guards against a prompt that is read again because another router had it read, also before this
// one started.
func TestPeersShareParts(t *testing.T) {
	targets := engines(6, 32)
	a, b := pair(targets)
	first := one(t, a, start, request(start, "c", 9))
	finish(a, start, first.ID)
	exchange(start, a, b)
	later := start.Add(time.Second)
	second := one(t, b, later, request(later, "c", 9))
	qt.Check(t, second.Target.Name, qt.Equals, first.Target.Name)
	qt.Check(t, second.PrefillTokens, qt.Equals, 1000)

	late := dispatch.New(here, 3)
	late.SetTargets(start, targets)
	a.AddPeer(start, dispatch.Peer{Name: "late", Region: "r"})
	late.AddPeer(start, dispatch.Peer{Name: "a", Region: "r"})
	for _, envelope := range a.Tick(start.Add(time.Second)) {
		late.Receive(start, "a", envelope.Body)
	}
	qt.Check(t, one(t, late, later, request(later, "c", 9)).Target.Name, qt.Equals, first.Target.Name)
}

// TestPeersShareFairness guards against a customer that gets its share at each router although it uses several ones.
func TestPeersShareFairness(t *testing.T) {
	a, b := pair(engines(1, 2))
	now := start
	heavy := one(t, a, now, request(now, "heavy", 9))
	a.RecordFirstByte(now, heavy.ID, nil)
	light := one(t, b, now, request(now, "light", 9))
	b.RecordFirstByte(now, light.ID, nil)
	finish(a, now, heavy.ID)
	exchange(now, a, b)
	again := one(t, a, now.Add(30*time.Millisecond), request(now, "heavy", 9))
	a.RecordFirstByte(now, again.ID, nil)
	exchange(now.Add(30*time.Millisecond), a, b)
	first := b.Submit(now, request(now, "heavy", 9))
	second := b.Submit(now, request(now, "other", 9))
	qt.Assert(t, b.TakeDecisions(), qt.HasLen, 0)
	b.Finish(now, light.ID, dispatch.Done)
	decisions := b.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, second)
	qt.Check(t, decisions[0].ID, qt.Not(qt.Equals), first)
}

// TestYield guards against a router without runs whose customers starve: slots that become free at another router would
// go to that one's customers for ever, although they got far more. It also guards against room that stays free because
// the peer does not take it.
func TestYield(t *testing.T) {
	a, b := pair(engines(1, 1))
	now := start
	run := one(t, a, now, request(now, "heavy", 9))
	a.RecordFirstByte(now, run.ID, nil)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		a.Finish(now, run.ID, dispatch.Done)
		run = one(t, a, now, request(now, "heavy", 9))
		a.RecordFirstByte(now, run.ID, nil)
		exchange(now, a, b)
	}
	now = now.Add(100 * time.Millisecond)
	starved := b.Submit(now, request(now, "light", 9))
	qt.Assert(t, b.TakeDecisions(), qt.HasLen, 0)
	now = now.Add(30 * time.Millisecond)
	exchange(now, a, b)
	next := a.Submit(now, request(now, "heavy", 9))
	a.Finish(now, run.ID, dispatch.Done)
	qt.Assert(t, a.TakeDecisions(), qt.HasLen, 0, qt.Commentf("the room was not left to the peer"))
	now = now.Add(30 * time.Millisecond)
	exchange(now, a, b)
	decisions := b.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, starved)

	b.Finish(now, starved, dispatch.Done)
	b.RemovePeer("a") // The peer is cut off and takes nothing more.
	now = now.Add(200 * time.Millisecond)
	a.RemovePeer("b")
	a.Tick(now)
	decisions = a.TakeDecisions()
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].ID, qt.Equals, next)
}

// TestOverdrawn guards against a customer that gets more than its share because it asks at several routers, and against
// idle room when nobody else asks for it.
func TestOverdrawn(t *testing.T) {
	a, b := pair(engines(1, 8))
	now := start
	count := func(d *dispatch.Dispatcher, customer string) (served int) {
		d.Submit(now, request(now, customer, 9))
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				served++
				d.RecordFirstByte(now.Add(20*time.Millisecond), decision.ID, nil)
				d.Finish(now.Add(30*time.Millisecond), decision.ID, dispatch.Done)
			}
		}
		return served
	}
	alone := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		alone += count(a, "flood")
		exchange(now, a, b)
	}
	qt.Check(t, alone, qt.Equals, 100)
	flood, desk := 0, 0
	for range 400 {
		now = now.Add(40 * time.Millisecond)
		for range 4 {
			flood += count(a, "flood")
			flood += count(b, "flood")
		}
		desk += count(b, "desk")
		exchange(now, a, b)
	}
	qt.Check(t, desk > 200, qt.IsTrue, qt.Commentf("the desk got %d of 400, the flood %d", desk, flood))
}

// TestMessageRate guards against messages that take up the processors of a large fleet, and against late ones in a small
// one.
func TestMessageRate(t *testing.T) {
	for _, c := range []struct {
		near, far int
		// most is the number of messages in a second, least the number to each near peer.
		most, least int
	}{
		{near: 2, far: 5, most: 130, least: 35},
		{near: 30, far: 60, most: 400, least: 7},
		{near: 120, far: 0, most: 370, least: 2},
	} {
		d := dispatch.New(here, 1)
		d.SetTargets(start, engines(20, 1000))
		for i := range c.near + c.far {
			peer := dispatch.Peer{Name: fmt.Sprint("peer-", i), Region: "r"}
			if i >= c.near {
				peer.Region = "s"
			}
			d.AddPeer(start, peer)
		}
		sent := make(map[string]int)
		sum := 0
		for at := time.Duration(0); at < time.Second; at += 5 * time.Millisecond {
			now := start.Add(at)
			d.Submit(now, dispatch.Request{
				Customer: "c", Service: "m", Objective: now.Add(time.Second), Deadline: now.Add(time.Second),
			})
			for _, envelope := range d.Tick(now) {
				sent[envelope.To]++
				sum++
			}
		}
		note := qt.Commentf("%d near and %d far peers: %d messages", c.near, c.far, sum)
		qt.Check(t, sum <= c.most, qt.IsTrue, note)
		qt.Check(t, sent["peer-0"] >= c.least, qt.IsTrue, note)
	}
}
