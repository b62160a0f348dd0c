package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
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

const (
	// largeFleetLength is the time that the loads of a large fleet are played.
	largeFleetLength = 7 * time.Second
	// routersPerZoneOf198 is the number of routers in each of the six availability zones of a fleet that is too large for links between all.
	routersPerZoneOf198 = 33
	// relayLossTime is the time from the loss of relays until others have taken their place.
	relayLossTime = 2 * time.Second
)

// newCrowdedRegion returns a fleet of three regions, and loads in which eight customers have their callers in the first region
// and ask for two fifths of what the fleet has, and another one asks at all routers for twice as much as it has.
func newCrowdedRegion(routersPerZone, targetsPerZone int, regional bool) (*simFleet, []load) {
	const locals = 8
	f := newLinkedSimFleet(0, routersPerZone, targetsPerZone, 8, regional)
	f.reportsLoad = true
	loads := make([]load, 0, 1+locals)
	loads = append(loads, load{customer: "wide", perSecond: f.capacity() * 2, until: largeFleetLength})
	for i := range locals {
		loads = append(loads, load{customer: fmt.Sprint("local", i), at: "r0", perSecond: f.capacity() * 0.05, until: largeFleetLength})
	}
	return f, loads
}

// TestCustomerOfOneRegionGetsItsShareOfTheFleet guards against customers of a crowded region that get a share of its capacity only, while a
// customer of all regions gets many times as much, because the regions do not hear what customers use elsewhere. Half of the relays of the
// region are lost meanwhile.
func TestCustomerOfOneRegionGetsItsShareOfTheFleet(t *testing.T) {
	f, loads := newCrowdedRegion(routersPerZoneOf198, 4, true)
	f.after(relayLossTime, func() { f.loseRelays("r0") })
	f.run(largeFleetLength, loads)
	checkShares(t, f)
}

// TestLeavingTargetIsKnownInAllRegions guards against routers of other regions that learn only from a refused request that a target leaves.
func TestLeavingTargetIsKnownInAllRegions(t *testing.T) {
	f := newLinkedSimFleet(0, 3, 1, 8, true)
	f.after(time.Second, func() { f.routers[0].dispatcher.RecordLeaving(f.now, f.targets["r2b-t0"].Target) })
	f.run(2*time.Second, nil)
	for _, router := range f.routers {
		qt.Check(t, router.dispatcher.Notices(f.now), qt.HasLen, 1, qt.Commentf(router.name))
	}
}

// loseRelays takes every second router of a region down that is linked with other regions.
func (f *simFleet) loseRelays(region string) {
	relays := slices.DeleteFunc(slices.Clone(f.routers), func(router *simRouter) bool {
		linksOtherRegion := func(name string) bool { return f.byName[name].Region != region }
		return router.Region != region || !slices.ContainsFunc(slices.Collect(maps.Keys(router.links)), linksOtherRegion)
	})
	for i := 0; i < len(relays); i += 2 {
		f.takeDown(relays[i])
	}
	f.after(relayLossTime, f.linkRouters)
}

// BenchmarkControlTraffic measures the messages between routers in fleets of several sizes, with the loads of a crowded region.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct {
		routersPerZone, targetsPerZone int
		regional                       bool
	}{{10, 1, false}, {routersPerZoneOf198, 4, true}, {84, 10, true}} {
		b.Run(fmt.Sprint(size.routersPerZone*zonesPerRegion*3), func(b *testing.B) {
			for b.Loop() {
				f, loads := newCrowdedRegion(size.routersPerZone, size.targetsPerZone, size.regional)
				f.run(largeFleetLength, loads)
				f.reportTraffic(b)
			}
		})
	}
}

// reportTraffic reports the bytes of messages that the routers sent per second.
func (f *simFleet) reportTraffic(b *testing.B) {
	b.Helper()
	all, far, most := 0, 0, 0
	for _, router := range f.routers {
		all += router.sentBytes
		far += router.sentFarBytes
		most = max(most, router.sentBytes)
	}
	perSecond := func(bytes int) float64 { return float64(bytes) / 1000 / float64(f.seconds) }
	b.ReportMetric(perSecond(all/len(f.routers)), "KB/s/router")
	b.ReportMetric(perSecond(most), "KB/s/busiest")
	b.ReportMetric(perSecond(far/len(f.routers)), "far-KB/s/router")
}
