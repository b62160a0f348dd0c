package overload_test

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// zoneSeconds is the length of a play, zoneWarmUp the time in it that is not counted, zoneRest the time at its end in which requests that
	// were sent may still begin.
	zoneSeconds, zoneWarmUp, zoneRest = 12, 2, 3
	// crowdRate and deskRate are the requests per second of the customers at the flooded router, shopRate those of one at each router.
	crowdRate, deskRate, shopRate = 640, 60, 30
)

// zoneShares are the parts of a core of the routers of a zone: two large and seven small ones.
var zoneShares = append(slices.Repeat([]float64{largeShare}, 2), slices.Repeat([]float64{smallShare}, 7)...)

// playFlood plays a zone in which the balancer sends a customer with many callers and one with few to the same small router, which is
// returned. The crowd sends load times as many requests as the zone has time for.
func playFlood(seed uint64, load float64) (zone *zoneModel, flooded *zoneRouter) {
	return playFloodedZone(newZoneModel(seed, zoneSeconds*time.Second, zoneShares), load)
}

// playFloodedZone plays that in a given zone.
func playFloodedZone(zone *zoneModel, load float64) (played *zoneModel, flooded *zoneRouter) {
	flooded = zone.routers[len(zone.routers)-1]
	rates := map[string]float64{zone.callerOf(flooded, "crowd"): crowdRate * load, zone.callerOf(flooded, "desk"): deskRate}
	for _, r := range zone.routers {
		rates[zone.callerOf(r, "shop")] = shopRate
	}
	for _, customer := range slices.Sorted(maps.Keys(rates)) {
		zone.addCallers(customer, rates[customer])
	}
	zone.play()
	return zone, flooded
}

// counted returns the sum of the counts of the seconds that are counted.
func counted(counts []int) int {
	sum := 0
	for _, count := range counts[zoneWarmUp : zoneSeconds-zoneRest] {
		sum += count
	}
	return sum
}

// sum returns the sum of the counts of all customers in the seconds that are counted.
func sum(counts map[string][]int) int {
	total := 0
	for _, ofCustomer := range counts {
		total += counted(ofCustomer)
	}
	return total
}

// TestCustomersOfFloodedRouterAreServedByZone guards against customers whose requests begin too late because the balancer sends all their
// callers to one small router, which spends its time on connections that it cannot finish, while the zone has time for all of them.
func TestCustomersOfFloodedRouterAreServedByZone(t *testing.T) {
	for seed := range uint64(5) {
		zone, _ := playFlood(seed, 1)
		for customer, asked := range zone.asked {
			owed, got := counted(asked), counted(zone.begun[customer])
			qt.Check(t, 2*got >= owed, qt.IsTrue, qt.Commentf("seed %d: %s got %d of %d, by seconds %v", seed, customer, got, owed,
				zone.begun[customer]))
		}
	}
}

// TestFloodedRouterHandsOver guards against a router that is late because it refuses connections, and refuses them because it is late: it
// neither accepts nor hands over any while its zone has time for them.
func TestFloodedRouterHandsOver(t *testing.T) {
	const seed = 0
	usual := 0
	for _, load := range []float64{1, 3, 10} {
		zone, flooded := playFlood(seed, load)
		if usual == 0 {
			usual = sum(zone.served)
		}
		comment := qt.Commentf("load %v: handed over %v, %d begun, %d at load 1", load, flooded.passed, sum(zone.served), usual)
		qt.Check(t, slices.Min(flooded.passed[zoneWarmUp:zoneSeconds]) > 0, qt.IsTrue, comment)
		qt.Check(t, sum(zone.served) >= usual, qt.IsTrue, comment)
	}
}

// TestReturningCrowdLeavesTimeForOthers guards against a router that begins far more than it can finish for a crowd whose callers come back to it, and
// refuses nearly all of a small customer afterwards or begins its requests too late.
func TestReturningCrowdLeavesTimeForOthers(t *testing.T) {
	for seed := range uint64(5) {
		zone := newZoneModel(seed, zoneSeconds*time.Second, zoneShares)
		zone.callersReturn = true
		_, flooded := playFloodedZone(zone, 0.5)
		desk := zone.callerOf(flooded, "desk")
		owed, got := counted(zone.asked[desk]), counted(zone.begun[desk])
		qt.Check(t, 2*got >= owed, qt.IsTrue, qt.Commentf("seed %d: got %d of %d, by seconds %v", seed, got, owed, zone.begun[desk]))
	}
}

// TestFloodedZoneServesInTime guards against a zone that begins the requests of a crowd too late to be of use: it then begins no fewer requests
// than before, but those of callers who have come back several times.
func TestFloodedZoneServesInTime(t *testing.T) {
	const seed = 0
	usual, _ := playFlood(seed, 1)
	for _, load := range []float64{3, 10} {
		zone, _ := playFlood(seed, load)
		qt.Check(t, sum(zone.begun) >= sum(usual.begun), qt.IsTrue, qt.Commentf("load %v: %d begun in time, %d at load 1", load, sum(zone.begun),
			sum(usual.begun)))
	}
}

// TestRefusedCallersDoNotKeepRouterLate guards against a crowd whose returns keep its router late, because refused callers are told to come
// back within 0.1 s although the router has no peer that they could reach.
func TestRefusedCallersDoNotKeepRouterLate(t *testing.T) {
	soon := func(_, _, _ time.Duration, random float64) time.Duration {
		return time.Duration((0.01 + 0.09*random) * float64(time.Second))
	}
	for _, rate := range []float64{150, 300} {
		begun, begunOfSoon := 0, 0
		for seed := range uint64(5) {
			begun += playLoneRouter(seed, rate, overload.RetryDelay)
			begunOfSoon += playLoneRouter(seed, rate, soon)
		}
		qt.Check(t, 4*begun >= 5*begunOfSoon, qt.IsTrue, qt.Commentf("rate %v: %d begun in time, %d if callers come back soon", rate, begun, begunOfSoon))
	}
}

// playLoneRouter plays a router without peers whose refused callers come back after a delay until their deadlines, and returns the number of
// requests that began in time.
func playLoneRouter(seed uint64, rate float64, delay delayRule) int {
	zone := newZoneModel(seed, zoneSeconds*time.Second, []float64{smallShare})
	zone.retryDelay, zone.maxTries = delay, math.MaxInt
	zone.addCallers("crowd", rate)
	zone.addCallers("desk", 20)
	zone.play()
	return sum(zone.begun)
}
