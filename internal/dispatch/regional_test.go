package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// regionalLength is the time that the loads of regions are played.
const regionalLength = 8 * time.Second

// TestUnheardRegionsDoNotOverfillTargets guards against targets that get more requests than they run at once from routers of several regions
// that do not hear each other, while all regions ask for more than there is. The requests then wait at the targets beyond their objective.
func TestUnheardRegionsDoNotOverfillTargets(t *testing.T) {
	for seed := range uint64(2) {
		f := newLinkedSimFleet(seed, 4, 3, 16, true)
		f.reportsLoad = true
		loads := smallLoads(f, 5, regionalLength)
		for _, region := range []string{"r0", "r1", "r2"} {
			loads = append(loads, load{customer: region, at: region, perSecond: f.capacity() * 0.6, until: regionalLength})
		}
		f.run(regionalLength, loads)
		inTime := float64(f.prompts.inTime) / float64(f.prompts.begun)
		t.Logf("seed %d: %.3f of %d requests answered in time", seed, inTime, f.prompts.begun)
		qt.Check(t, inTime >= 0.67, qt.IsTrue)
	}
}

// TestIdleRegionIsUsed guards against capacity of another region that stays idle while requests wait, because its routers are not heard.
func TestIdleRegionIsUsed(t *testing.T) {
	f := newLinkedSimFleet(0, 4, 3, 16, true)
	f.reportsLoad = true
	f.run(regionalLength, append(smallLoads(f, 5, regionalLength),
		load{customer: "busy", at: "r0", perSecond: f.capacity() * 0.6, until: regionalLength}))
	served := float64(f.prompts.inTime) / (f.capacity() * regionalLength.Seconds())
	t.Logf("%.3f of the capacity used in time", served)
	qt.Check(t, served >= 0.6, qt.IsTrue)
}
