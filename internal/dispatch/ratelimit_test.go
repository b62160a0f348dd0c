package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// targetRateLimit is the limit that the limited targets name, in requests per second. Without it they get twice as many.
	targetRateLimit = 10.0
	// limitFrom and limitUntil are the times between which they name it, limitRunLength is the length of the simulation.
	limitFrom, limitUntil, limitRunLength = 2 * time.Second, 18 * time.Second, 26 * time.Second
	// limitWindow is the span in which arrivals are counted, and the time after which the limit must hold.
	limitWindow = 4 * time.Second
)

// runLimitedFleet plays a load of twice targetRateLimit for each target. Two of three targets name the limit for a time.
func runLimitedFleet(seed uint64, routersPerZone, targetsPerZone int) (limited []*simTarget) {
	f := newSimFleet(seed, routersPerZone, targetsPerZone, 24)
	for name, target := range f.targets {
		if name[len(name)-1] != '0' {
			limited = append(limited, target)
			f.after(limitFrom, func() { target.rateLimit = targetRateLimit })
			f.after(limitUntil, func() { target.rateLimit = 0 })
		}
	}
	total := 2 * targetRateLimit * float64(len(f.targets))
	loads := make([]load, 0, 10)
	for i := range cap(loads) {
		loads = append(loads, load{customer: fmt.Sprint("c", i), perSecond: total / float64(cap(loads)), until: limitRunLength})
	}
	f.run(limitRunLength, loads)
	return limited
}

// arrivalsBetween returns the number of requests that reached a target between two times after the start.
func (t *simTarget) arrivalsBetween(from, until time.Duration) int {
	count := 0
	for _, at := range t.arrivals {
		if since := at.Sub(startTime); since >= from && since < until {
			count++
		}
	}
	return count
}

// TestTargetGetsNoMoreThanItsLimit guards against targets in need that get more requests than they take, of all routers together, and
// against a limit that leaves targets idle or that outlasts what they say.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	for _, c := range []struct{ routersPerZone, targetsPerZone int }{{1, 3}, {2, 3}, {11, 3}, {15, 15}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			limited := runLimitedFleet(1, c.routersPerZone, c.targetsPerZone)
			most, used, afterwards := 0, 0, 0
			for _, target := range limited {
				for from := limitFrom + limitWindow; from+limitWindow <= limitUntil; from += 100 * time.Millisecond {
					most = max(most, target.arrivalsBetween(from, from+limitWindow))
				}
				used += target.arrivalsBetween(limitFrom+limitWindow, limitUntil)
				afterwards += target.arrivalsBetween(limitRunLength-limitWindow, limitRunLength)
			}
			allowed := 1.5*targetRateLimit*limitWindow.Seconds() + 5
			qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d arrivals in a window, %.0f allowed", most, allowed))
			rate := float64(used) / float64(len(limited)) / (limitUntil - limitFrom - limitWindow).Seconds()
			qt.Check(t, rate >= 0.7*targetRateLimit, qt.IsTrue, qt.Commentf("%.1f of %.0f requests a second were sent", rate, targetRateLimit))
			rate = float64(afterwards) / float64(len(limited)) / limitWindow.Seconds()
			qt.Check(t, rate >= 1.5*targetRateLimit, qt.IsTrue, qt.Commentf("%.1f requests a second after the limit has ended", rate))
		})
	}
}
