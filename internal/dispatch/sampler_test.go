package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// newSpreadTargets returns the targets of a large service in two availability zones of the router's region and in another
// region. Every fiftieth is leaving.
func newSpreadTargets(count, slots int) []dispatch.Target {
	localities := []dispatch.Locality{routerLocality, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}}
	targets := newTargets(count, slots)
	for i := range targets {
		locality := localities[i%len(localities)]
		targets[i].Zone, targets[i].Region, targets[i].Leaving = locality.Zone, locality.Region, i%50 == 0
	}
	return targets
}

// TestSampledServiceKeepsSessionsAtTheirTargets guards against sessions that lose their cached parts when decisions look only
// at a sample of the targets. It also guards against new requests for leaving targets.
func TestSampledServiceKeepsSessionsAtTheirTargets(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newSpreadTargets(1000, 8)
	d.SetTargets(startTime, targets)
	now := startTime
	used := make(map[string]int)
	for session := range uint64(300) {
		first := submitOne(t, d, now, newRequest(now, "c", 1000+session))
		qt.Assert(t, first.Refusal == nil, qt.IsTrue)
		qt.Check(t, first.Target.Leaving, qt.IsFalse)
		now = now.Add(20 * time.Millisecond)
		answerAndFinish(d, now, first.ID)
		now = now.Add(20 * time.Millisecond)
		second := submitOne(t, d, now, newRequest(now, "c", 1000+session))
		qt.Check(t, second.Target.Name, qt.Equals, first.Target.Name)
		now = now.Add(20 * time.Millisecond)
		answerAndFinish(d, now, second.ID)
		used[first.Target.Name]++
	}
	qt.Check(t, len(used) > 100, qt.IsTrue, qt.Commentf("%d targets used", len(used)))
}

// TestSampledServiceFillsAllSlots guards against slots that stay free in a large service because the sampled targets are full.
func TestSampledServiceFillsAllSlots(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	targets := newSpreadTargets(300, 2)
	d.SetTargets(startTime, targets)
	freeSlots := 0
	for _, target := range targets {
		if !target.Leaving {
			freeSlots += target.Slots
		}
	}
	now := startTime
	placed := make(map[string]int)
	for used, tries := 0, 0; used < freeSlots; tries++ {
		qt.Assert(t, tries < 50*freeSlots, qt.IsTrue, qt.Commentf("%d of %d slots used", used, freeSlots))
		now = now.Add(time.Millisecond)
		d.Submit(now, dispatch.Request{
			Customer: fmt.Sprint("c", tries%7), Service: "m", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		})
		d.Tick(now)
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				placed[decision.Target.Name]++
				if placed[decision.Target.Name] <= 2 {
					used++
				}
			}
		}
	}
	for name, count := range placed {
		qt.Check(t, count == 2 || count == 3, qt.IsTrue, qt.Commentf("%s has %d runs; its headroom is 1", name, count))
	}
}
