package e2e_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRouterPausedBeyondDeadline guards against a router that is paused beyond the deadlines of its claims and runs their
// bookings when it resumes, and against bookings that run a second time through other routers during the pause. When the
// router is paused, some of the bookings have run, some are running, and some wait for a slot.
func TestRouterPausedBeyondDeadline(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addReplica("s1", "--slots", "2", "--work", "200ms")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	keys := newIdempotencyKeys(t, 12)
	paused, others := f.routers[:1], f.routers[1:]
	deadline := time.Now().Add(2 * time.Second)
	waitPaused := f.bookAll(keys, paused, deadline)
	eventually(t, "three bookings have run", func() bool { return len(f.runCounts()) >= 3 })
	paused[0].pause()
	waitUntil(t, deadline)
	eventually(t, "the replica is idle", func() bool { return isIdle(t, f.replicas[0]) })
	countsBeforeRepeat := f.runCounts()
	qt.Assert(t, len(countsBeforeRepeat) < len(keys), qt.IsTrue)
	// A key whose claim was not in the log when the router was paused is free, so the repeated booking runs, once.
	wantCounts := maps.Clone(countsBeforeRepeat)
	repeated := f.bookAll(keys, others, time.Time{})()
	for _, outcome := range repeated {
		if outcome.refusal(t) == nil {
			wantCounts[outcome.key] = 1
		}
		if refusal := outcome.refusal(t); refusal != nil {
			qt.Check(t, slices.Contains([]string{"key_busy", "outcome_unknown"}, refusal.Code), qt.IsTrue, qt.Commentf("%v", refusal))
			qt.Check(t, refusal.Ran, qt.Equals, "unknown")
		}
	}
	qt.Check(t, f.runCounts(), qt.DeepEquals, wantCounts)
	paused[0].resume()
	outcomes := append(waitPaused(), repeated...)
	for _, outcome := range outcomes {
		if refusal := outcome.refusal(t); refusal != nil && refusal.Ran == "no" {
			qt.Check(t, wantCounts[outcome.key], qt.Equals, 0, qt.Commentf("%v", refusal))
		}
	}
	eventually(t, "the replica is idle", func() bool { return isIdle(t, f.replicas[0]) })
	qt.Check(t, f.runCounts(), qt.DeepEquals, wantCounts)
	eventually(t, "the resumed router is ready and sees all peers as up", func() bool {
		return paused[0].countUpPeers() == len(others) && paused[0].isReady()
	})
	outcomes = append(outcomes, f.bookAll(keys, f.routers, time.Time{})()...)
	f.checkKeysRanOnce(outcomes)
}
