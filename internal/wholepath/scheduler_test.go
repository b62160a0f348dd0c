package wholepath_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSchedulerKilled guards against calls that wait forever, are lost, or overload the engine because the router that
// granted the slots of their pool died.
func TestSchedulerKilled(t *testing.T) {
	t.Parallel()
	const (
		slots = 4
		// most is slots with the extra slot for short calls.
		most  = slots + 1
		calls = 32
		// bound is the design's silence of 2 s and heartbeat of 0.5 s until the successor knows of its role, an exchange
		// of 0.25 s, the longest run of 0.5 s that occupies a slot, and 0.75 s for a busy machine.
		bound = 4 * time.Second
	)
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms", "--slots", fmt.Sprint(slots))
	f.addRouters("r1", "r2", "r3", "r4")
	f.settle()
	place := slices.IndexFunc(f.routers, func(r *router) bool { return r.schedules("m") })
	qt.Assert(t, place >= 0, qt.IsTrue)
	scheduler := f.routers[place]
	others := slices.Delete(slices.Clone(f.routers), place, place+1)
	streams := make([]*stream, 0, calls)
	for i := range calls {
		through := others[i%len(others)].client(alpha)
		streams = append(streams, generate(t.Context(), through, "quick", fmt.Sprintf("name %d", i), 100))
	}
	eventually(t, "some calls have ended", func() bool { return countEnded(streams) >= slots })
	scheduler.kill()
	killed := time.Now()
	highest := 0
	eventually(t, "all calls have ended", func() bool {
		report := load(t, f.engines["e1"])
		highest = max(highest, report.Running+report.Queued)
		return countEnded(streams) == calls
	})
	qt.Check(t, highest <= most, qt.IsTrue, qt.Commentf("%d requests on the engine", highest))
	starts := []time.Time{killed}
	for _, each := range streams {
		qt.Check(t, each.err, qt.IsNil)
		if at := time.Unix(0, each.started.Load()); at.After(killed) {
			starts = append(starts, at)
		}
	}
	qt.Assert(t, len(starts) > calls/2, qt.IsTrue)
	slices.SortFunc(starts, time.Time.Compare)
	for i, at := range starts[1:] {
		qt.Check(t, at.Sub(starts[i]) <= bound, qt.IsTrue, qt.Commentf("no call began for %v", at.Sub(starts[i])))
	}
}

// countEnded returns how many streams have ended.
func countEnded(streams []*stream) int {
	count := 0
	for _, each := range streams {
		if each.ended() {
			count++
		}
	}
	return count
}
