package overload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// countHandedOver returns the number of connections of a thousand that each peer gets from a router with the given start delay.
func countHandedOver(handover *overload.Handover, now time.Time, startDelay time.Duration) map[string]int {
	counts := make(map[string]int)
	for range 1000 {
		handover.RecordStartDelay(now, startDelay)
		if peer, choice := handover.Pick(now, 0); choice == overload.HandOver {
			counts[peer]++
		}
	}
	return counts
}

// TestPunctualRouterKeepsItsConnections guards against connections that take a detour although the router has time for them.
func TestPunctualRouterKeepsItsConnections(t *testing.T) {
	handover := overload.NewHandover(1)
	handover.RecordPeer(startTime, "a", time.Second)
	qt.Check(t, countHandedOver(handover, startTime, 5*time.Millisecond), qt.HasLen, 0)
	_, choice := handover.Pick(startTime.Add(time.Second), 0)
	qt.Check(t, choice, qt.Equals, overload.KeepOnTime, qt.Commentf("the delay was measured a second ago"))
}

// TestConnectionsGoToPeersBySpareTime guards against a small peer that gets as many connections as a large one, and against connections
// for peers without time.
func TestConnectionsGoToPeersBySpareTime(t *testing.T) {
	handover := overload.NewHandover(1)
	handover.RecordPeer(startTime, "busy", 10*time.Millisecond)
	handover.RecordPeer(startTime, "large", 600*time.Millisecond)
	handover.RecordPeer(startTime, "small", 150*time.Millisecond)
	handover.RecordPeer(startTime.Add(-time.Minute), "silent", time.Second)
	counts := countHandedOver(handover, startTime, 100*time.Millisecond)
	qt.Check(t, counts["busy"]+counts["silent"], qt.Equals, 0)
	qt.Check(t, counts["large"] > 2*counts["small"], qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, counts["small"] > 0, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestPeerIsNotFlooded guards against a peer that gets more connections than it has time for, because its next report comes late.
func TestPeerIsNotFlooded(t *testing.T) {
	handover := overload.NewHandover(1)
	handover.RecordPeer(startTime, "a", 120*time.Millisecond)
	counts := countHandedOver(handover, startTime, 100*time.Millisecond)
	qt.Check(t, counts["a"] > 0 && counts["a"] <= 100, qt.IsTrue, qt.Commentf("%v: 100 of 1.2 ms each fill its second", counts))
	handover.RemovePeer("a")
	qt.Check(t, countHandedOver(handover, startTime.Add(time.Second), 100*time.Millisecond), qt.HasLen, 0)
}

// TestCrowdIsHandedOverBeforeFirstDelay guards against a crowd that a router keeps because none of its connections has waited yet.
func TestCrowdIsHandedOverBeforeFirstDelay(t *testing.T) {
	handover := overload.NewHandover(1)
	handover.RecordPeer(startTime, "a", time.Second)
	_, choice := handover.Pick(startTime, 2)
	qt.Check(t, choice, qt.Equals, overload.KeepOnTime)
	_, choice = handover.Pick(startTime, 20)
	qt.Check(t, choice, qt.Equals, overload.HandOver)
}

// TestLateRouterWithoutPeersIsToldApart guards against logs in which a late router whose peers have no time looks like one that is on time.
func TestLateRouterWithoutPeersIsToldApart(t *testing.T) {
	handover := overload.NewHandover(1)
	handover.RecordPeer(startTime, "busy", 10*time.Millisecond)
	_, choice := handover.Pick(startTime, 20)
	qt.Check(t, choice, qt.Equals, overload.KeepWithoutPeer)
	qt.Check(t, handover.Spare(startTime), qt.Equals, 10*time.Millisecond)
	qt.Check(t, handover.Spare(startTime.Add(time.Minute)), qt.Equals, time.Duration(0))
}
