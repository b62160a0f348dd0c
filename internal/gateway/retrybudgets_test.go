package gateway_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestRetryReserveIsDivided guards against a reserve of which each router takes the part of a small fleet, so that the routers of a large
// one together send more retries than the fleet may.
func TestRetryReserveIsDivided(t *testing.T) {
	for _, c := range []struct {
		routers int
		reserve float64
	}{{7, 54}, {9, 58}, {67, 174}, {91, 222}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			retries := 0
			for range c.routers {
				budgets := gateway.NewRetryBudgets(0.2, c.reserve)
				budgets.SetRouterCount(c.routers)
				for range 1000 { // Enough first attempts to fill any part of the reserve.
					budgets.RecordRequest("service")
				}
				for budgets.TakeRetry("service") {
					retries++
				}
			}
			qt.Check(t, float64(retries) <= c.reserve, qt.IsTrue, qt.Commentf("%d retries, the reserve is %.0f", retries, c.reserve))
		})
	}
}

// TestRestartedRoutersDoNotDoubleReserve guards against routers that each have a full reserve of retries after the loss of all of them,
// although the reserve was used just before, and although none of them knows yet among how many it is divided.
func TestRestartedRoutersDoNotDoubleReserve(t *testing.T) {
	const routers, fleetReserve = 67, 174
	retries := 0
	for range 2 {
		for range routers {
			budgets := gateway.NewRetryBudgets(0.2, fleetReserve)
			for budgets.TakeRetry("service") {
				retries++
			}
		}
	}
	qt.Check(t, retries <= fleetReserve, qt.IsTrue, qt.Commentf("%d retries, the reserve is %d", retries, fleetReserve))
}
