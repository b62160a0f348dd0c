package e2e_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
)

// TestSchedulerKilled guards against calls that wait forever, are lost, or overload the engine after the router that acts as
// the scheduler of their pool is killed.
func TestSchedulerKilled(t *testing.T) {
	t.Parallel()
	const (
		slots = 4
		// maxRequests is the number of slots plus the extra slot that only short calls may use.
		maxRequests = slots + 1
		// longCalls is the number of calls that still run when the new scheduler takes over; it must not grant their slots again.
		longCalls  = 3
		longTokens = 1400
		quickCalls = 28
		// maxStartGap is the longest time without a call that starts: 2 s of silence and a heartbeat of 0.5 s until the new
		// scheduler learns of its role, 0.25 s for its exchange with the other routers, 0.25 s for the longest quick
		// call that occupies a slot, and 1 s for a busy machine.
		maxStartGap = 4 * time.Second
	)
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms", "--slots", fmt.Sprint(slots))
	f.addRouters("r1", "r2", "r3", "r4")
	f.publishInitialConfig()
	index := slices.IndexFunc(f.routers, func(r *router) bool { return r.isScheduler("m") })
	qt.Assert(t, index >= 0, qt.IsTrue)
	scheduler := f.routers[index]
	otherRouters := slices.Delete(slices.Clone(f.routers), index, index+1)
	streams := make([]*stream, 0, longCalls+quickCalls)
	for i := 0; len(streams) < longCalls; i++ {
		prompt := fmt.Sprintf("brief %d", i)
		if transcript.New(prompt, longTokens).TokenCount() > longTokens*9/10 {
			streams = append(streams, startStream(t.Context(), otherRouters[0].client(customerAlpha), "long", prompt, longTokens))
		}
	}
	eventually(t, "the long responses have started", func() bool { return allReceived(streams, 1) })
	for i := range quickCalls {
		customerClient := otherRouters[i%len(otherRouters)].client(customerBeta)
		streams = append(streams, startStream(t.Context(), customerClient, "quick", fmt.Sprintf("name %d", i), 50))
	}
	eventually(t, "some calls have ended", func() bool { return countEnded(streams) >= slots })
	scheduler.kill()
	killedAt := time.Now()
	peakRequests := 0
	// By this time the last grants of the killed router have arrived, so later starts are due to the new scheduler.
	oldGrantsArrived := killedAt.Add(time.Second)
	eventuallyWithin(t, maxStartGap, "a call starts after the takeover", func() bool {
		return anyStartedAfter(streams, oldGrantsArrived)
	})
	qt.Assert(t, countEnded(streams[:longCalls]), qt.Equals, 0)
	eventually(t, "all calls have ended", func() bool {
		report := fetchLoad(t, f.engines["e1"])
		peakRequests = max(peakRequests, report.Running+report.Queued)
		return countEnded(streams) == len(streams)
	})
	qt.Check(t, peakRequests <= maxRequests, qt.IsTrue, qt.Commentf("%d requests on the engine", peakRequests))
	startTimes := []time.Time{killedAt}
	for _, s := range streams {
		qt.Check(t, s.err, qt.IsNil)
		if at := time.Unix(0, s.firstTokenAt.Load()); at.After(killedAt) {
			startTimes = append(startTimes, at)
		}
	}
	qt.Assert(t, len(startTimes) > quickCalls/2, qt.IsTrue)
	slices.SortFunc(startTimes, time.Time.Compare)
	for i, at := range startTimes[1:] {
		qt.Check(t, at.Sub(startTimes[i]) <= maxStartGap, qt.IsTrue, qt.Commentf("no call started for %v", at.Sub(startTimes[i])))
	}
}

// anyStartedAfter reports whether any stream received its first token after the given time.
func anyStartedAfter(streams []*stream, instant time.Time) bool {
	return slices.ContainsFunc(streams, func(s *stream) bool { return s.firstTokenAt.Load() > instant.UnixNano() })
}

// countEnded returns the number of streams that have ended.
func countEnded(streams []*stream) int {
	count := 0
	for _, s := range streams {
		if s.hasEnded() {
			count++
		}
	}
	return count
}
