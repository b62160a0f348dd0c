package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// many returns the targets of a large service in two availability zones and another region; some are leaving.
func many(count, slots int) []dispatch.Target {
	places := []dispatch.Locality{here, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}}
	targets := engines(count, slots)
	for i := range targets {
		place := places[i%len(places)]
		targets[i].Zone, targets[i].Region, targets[i].Leaving = place.Zone, place.Region, i%50 == 0
	}
	return targets
}

// TestLargeSessions guards against sessions that lose their cached parts in a service of which not every target is looked at
// for each request, and against targets that leave and still get requests.
func TestLargeSessions(t *testing.T) {
	d := dispatch.New(here, 1)
	targets := many(1000, 8)
	d.SetTargets(start, targets)
	now := start
	used := make(map[string]int)
	for session := range uint64(300) {
		first := one(t, d, now, request(now, "c", 1000+session))
		qt.Assert(t, first.Refusal == nil, qt.IsTrue)
		qt.Check(t, first.Target.Leaving, qt.IsFalse)
		now = now.Add(20 * time.Millisecond)
		finish(d, now, first.ID)
		now = now.Add(20 * time.Millisecond)
		second := one(t, d, now, request(now, "c", 1000+session))
		qt.Check(t, second.Target.Name, qt.Equals, first.Target.Name)
		now = now.Add(20 * time.Millisecond)
		finish(d, now, second.ID)
		used[first.Target.Name]++
	}
	qt.Check(t, len(used) > 100, qt.IsTrue, qt.Commentf("%d targets used", len(used)))
}

// TestLargeFull guards against room that stays unused in a large service because the few targets that are drawn for a request
// have none.
func TestLargeFull(t *testing.T) {
	d := dispatch.New(here, 1)
	targets := many(300, 2)
	d.SetTargets(start, targets)
	room := 0
	for _, target := range targets {
		if !target.Leaving {
			room += target.Slots
		}
	}
	now := start
	placed := make(map[string]int)
	for sum, tries := 0, 0; sum < room; tries++ {
		qt.Assert(t, tries < 50*room, qt.IsTrue, qt.Commentf("%d of %d slots used", sum, room))
		now = now.Add(time.Millisecond)
		d.Submit(now, dispatch.Request{
			Customer: fmt.Sprint("c", tries%7), Service: "m", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		})
		d.Tick(now)
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				placed[decision.Target.Name]++
				sum++
			}
		}
	}
	for name, count := range placed {
		qt.Check(t, count, qt.Equals, 2, qt.Commentf("%s", name))
	}
}
