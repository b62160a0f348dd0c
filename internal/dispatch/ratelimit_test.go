package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
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
	for _, c := range []struct{ routersPerZone, targetsPerZone int }{{1, 3}, {2, 3}, {11, 3}, {15, 5}} {
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
			t.Logf("at most %d arrivals in a window, %.0f allowed", most, allowed)
			qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d arrivals in a window, %.0f allowed", most, allowed))
			rate := float64(used) / float64(len(limited)) / (limitUntil - limitFrom - limitWindow).Seconds()
			t.Logf("%.1f of %.0f requests a second used", rate, targetRateLimit)
			qt.Check(t, rate >= 0.7*targetRateLimit, qt.IsTrue, qt.Commentf("%.1f of %.0f requests a second were sent", rate, targetRateLimit))
			rate = float64(afterwards) / float64(len(limited)) / limitWindow.Seconds()
			qt.Check(t, rate >= 1.5*targetRateLimit, qt.IsTrue, qt.Commentf("%.1f requests a second after the limit has ended", rate))
		})
	}
}

// startedWithin submits a request every 10 ms for a time and returns how many were given a target.
func startedWithin(d *dispatch.Dispatcher, from time.Time, length time.Duration) int {
	started := 0
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		id := d.Submit(now, newRequest(now, "c", 9))
		d.Expire(now, id)
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				started++
				answerAndFinish(d, now, decision.ID)
			}
		}
	}
	return started
}

// TestRateLimitReachesPeers guards against a router that sends a target too much because only others got an answer that names the
// limit, and against one that started after that.
func TestRateLimitReachesPeers(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 32))
	a.RecordRateLimit(startTime, "e0", 4)
	exchangeMessages(startTime, a, b)
	started := startedWithin(b, startTime, 5*time.Second)
	qt.Check(t, started >= 8 && started <= 5*4+2, qt.IsTrue, qt.Commentf("%d requests started", started))

	later := startTime.Add(5 * time.Second)
	joined := dispatch.New(routerLocality, 3)
	joined.SetTargets(later, newTargets(1, 32))
	joined.AddPeer(later, dispatch.Peer{Name: "a", Region: "r", Zone: "a"})
	a.RecordRateLimit(later, "e0", 4)
	a.AddPeer(later, dispatch.Peer{Name: "joined", Region: "r", Zone: "a"})
	for _, envelope := range a.Tick(later) {
		if envelope.To == "joined" {
			joined.Receive(later, "a", envelope.Body)
		}
	}
	started = startedWithin(joined, later, 5*time.Second)
	qt.Check(t, started <= 5*4+2, qt.IsTrue, qt.Commentf("%d requests started", started))
}

// TestRateLimitEnds guards against a limit that outlasts the target's need: because the end is only told to a peer, or because nobody
// gets an answer any more.
func TestRateLimitEnds(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 32))
	a.RecordRateLimit(startTime, "e0", 0.01)
	exchangeMessages(startTime, a, b)
	now := startTime.Add(time.Second)
	qt.Check(t, startedWithin(b, now, time.Second), qt.Equals, 0)
	now = now.Add(time.Second)
	qt.Check(t, a.RecordRateLimit(now, "e0", 0), qt.IsTrue)
	exchangeMessages(now, a, b)
	qt.Check(t, startedWithin(b, now, time.Second) > 50, qt.IsTrue)

	now = now.Add(time.Second)
	a.RecordRateLimit(now, "e0", 0.01)
	exchangeMessages(now, a, b)
	qt.Check(t, startedWithin(b, now, time.Second), qt.Equals, 0)
	qt.Check(t, startedWithin(b, now.Add(10*time.Second), time.Second) > 50, qt.IsTrue)
}

// TestHugeRateLimitDoesNotBlock guards against a limit so high that the time between two requests rounds to zero.
func TestHugeRateLimitDoesNotBlock(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 32))
	d.RecordRateLimit(startTime, "e0", 1e15)
	qt.Check(t, startedWithin(d, startTime.Add(time.Second), time.Second), qt.Equals, 100)
}

// TestIdleRoutersDoNotSendAtOnce guards against many routers that each save up a request for a limited target and then send them at the
// same time.
func TestIdleRoutersDoNotSendAtOnce(t *testing.T) {
	const routerCount, idleSeconds = 40, 60
	routers := make([]*dispatch.Dispatcher, 0, routerCount)
	for i := range routerCount {
		router := dispatch.New(routerLocality, uint64(i))
		router.SetTargets(startTime, newTargets(1, 64))
		for peer := range routerCount - 1 {
			router.AddPeer(startTime, dispatch.Peer{Name: fmt.Sprint("peer-", peer), Region: "r", Zone: "a"})
		}
		routers = append(routers, router)
	}
	now := startTime
	for range idleSeconds {
		for _, router := range routers {
			router.RecordRateLimit(now, "e0", targetRateLimit)
		}
		now = now.Add(time.Second)
	}
	started := 0
	for _, router := range routers {
		router.Submit(now, newRequest(now, "c", 9))
		started += len(router.TakeDecisions())
	}
	allowed := 0.5*targetRateLimit*limitWindow.Seconds() + 5
	qt.Check(t, started >= 1 && float64(started) <= allowed, qt.IsTrue, qt.Commentf("%d requests at once, %.0f allowed", started, allowed))
}

// TestRoutersWithoutLinksShareLimit guards against routers that each take the whole limit of a target because their links are down.
func TestRoutersWithoutLinksShareLimit(t *testing.T) {
	const routerCount, localCount = 67, 12
	started := 0
	for i := range routerCount {
		locality := routerLocality
		if i >= localCount {
			locality.Zone = "b"
		}
		router := dispatch.New(locality, uint64(i))
		router.SetTargets(startTime, newTargets(1, 64))
		router.SetRouters(startTime, map[string]int{"a": localCount, "b": routerCount - localCount})
		router.RecordRateLimit(startTime, "e0", targetRateLimit)
		started += startedWithin(router, startTime, limitWindow)
	}
	allowed := 1.5*targetRateLimit*limitWindow.Seconds() + 5
	qt.Check(t, started >= 1 && float64(started) <= allowed, qt.IsTrue, qt.Commentf("%d requests, %.0f allowed", started, allowed))
}
