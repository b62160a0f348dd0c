package wholepath_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
)

// TestSchedulerKilled guards against calls that wait forever, are lost, or overload the engine because the router that
// granted the slots of their pool died.
func TestSchedulerKilled(t *testing.T) {
	t.Parallel()
	const (
		slots = 4
		// most is slots with the extra slot for short calls.
		most = slots + 1
		// long is the number of answers that last beyond the handover: the successor must not grant their slots again.
		long   = 3
		tokens = 1400
		quick  = 28
		// bound is the design's silence of 2 s and heartbeat of 0.5 s until the successor knows of its role, an exchange
		// of 0.25 s, the longest quick run of 0.25 s that occupies a slot, and 1 s for a busy machine.
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
	streams := make([]*stream, 0, long+quick)
	for i := 0; len(streams) < long; i++ {
		prompt := fmt.Sprintf("brief %d", i)
		if transcript.New(prompt, tokens).TokenCount() > tokens*9/10 {
			streams = append(streams, generate(t.Context(), others[0].client(alpha), "long", prompt, tokens))
		}
	}
	eventually(t, "the long answers have begun", func() bool { return allSeen(streams, 1) })
	for i := range quick {
		through := others[i%len(others)].client(beta)
		streams = append(streams, generate(t.Context(), through, "quick", fmt.Sprintf("name %d", i), 50))
	}
	eventually(t, "some calls have ended", func() bool { return countEnded(streams) >= slots })
	scheduler.kill()
	killed := time.Now()
	highest := 0
	// Grants of the killed router have arrived by then.
	handover := killed.Add(time.Second)
	within(t, bound, "a call begins", func() bool { return startedSince(streams, handover) })
	qt.Assert(t, countEnded(streams[:long]), qt.Equals, 0)
	eventually(t, "all calls have ended", func() bool {
		report := load(t, f.engines["e1"])
		highest = max(highest, report.Running+report.Queued)
		return countEnded(streams) == len(streams)
	})
	qt.Check(t, highest <= most, qt.IsTrue, qt.Commentf("%d requests on the engine", highest))
	starts := []time.Time{killed}
	for _, each := range streams {
		qt.Check(t, each.err, qt.IsNil)
		if at := time.Unix(0, each.started.Load()); at.After(killed) {
			starts = append(starts, at)
		}
	}
	qt.Assert(t, len(starts) > quick/2, qt.IsTrue)
	slices.SortFunc(starts, time.Time.Compare)
	for i, at := range starts[1:] {
		qt.Check(t, at.Sub(starts[i]) <= bound, qt.IsTrue, qt.Commentf("no call began for %v", at.Sub(starts[i])))
	}
}

// startedSince tells whether an answer has begun after an instant.
func startedSince(streams []*stream, instant time.Time) bool {
	return slices.ContainsFunc(streams, func(s *stream) bool { return s.started.Load() > instant.UnixNano() })
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
