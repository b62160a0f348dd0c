package membership_test

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/membership"
)

const (
	// maxFullMesh is the number of routers that all link with each other in these tests.
	maxFullMesh = 128
	// maxRelayLinks is the number of links that a relay of up to three parts may have with the five other availability zones.
	maxRelayLinks = 15
	// checkedStep is the distance between the routers from which the way through the fleet is checked.
	checkedStep = 31
)

// newRouters returns routers that are spread evenly over three regions with two availability zones each.
func newRouters(count int) []membership.Router {
	routers := make([]membership.Router, 0, count)
	for i := range count {
		region := fmt.Sprint("r", i%3)
		zone := fmt.Sprint(region, "-", i/3%2)
		routers = append(routers, membership.Router{Name: fmt.Sprint("host-", i), Region: region, Zone: zone})
	}
	return routers
}

// openLinks returns the links that the routers that are not down open with each other, in both directions.
func openLinks(routers []membership.Router, down map[string]bool) map[string]map[string]bool {
	links := make(map[string]map[string]bool)
	for _, router := range routers {
		links[router.Name] = make(map[string]bool)
	}
	for _, router := range routers {
		if down[router.Name] {
			continue
		}
		groups := membership.NewLinkGroups(router, routers, maxFullMesh)
		for _, other := range groups.Links(func(name string) bool { return down[name] }) {
			if !down[other] {
				links[router.Name][other], links[other][router.Name] = true, true
			}
		}
	}
	return links
}

// checkWayThroughFleet fails the test if what one router tells its peers does not reach all others that are up in three steps: to a relay of
// its group, to one of another group, and to a router there.
func checkWayThroughFleet(t *testing.T, routers []membership.Router, down map[string]bool) {
	t.Helper()
	links := openLinks(routers, down)
	for i, router := range routers {
		if i%checkedStep != 0 || down[router.Name] {
			continue
		}
		reached := map[string]bool{router.Name: true}
		for range 3 {
			for name := range maps.Clone(reached) {
				maps.Copy(reached, links[name])
			}
		}
		qt.Assert(t, len(reached), qt.Equals, len(routers)-len(down))
	}
}

// TestWayThroughFleetAfterLosses guards against routers of a group that hear nothing of another one because its relays, or half of an
// availability zone, are lost, and against routers that are linked with everybody.
func TestWayThroughFleetAfterLosses(t *testing.T) {
	for _, size := range []int{60, 195, 500, 1049} {
		routers := newRouters(size)
		mostLinks := 0
		for _, links := range openLinks(routers, nil) {
			mostLinks = max(mostLinks, len(links))
		}
		t.Logf("%d routers: at most %d links", size, mostLinks)
		qt.Check(t, mostLinks <= max(maxFullMesh-1, size/6)+maxRelayLinks, qt.IsTrue)
		checkWayThroughFleet(t, routers, nil)
		for _, half := range []int{0, 1} {
			down := make(map[string]bool)
			for i, router := range routers {
				if router.Zone == "r0-0" && i/6%2 == half {
					down[router.Name] = true
				}
			}
			checkWayThroughFleet(t, routers, down)
		}
	}
}
