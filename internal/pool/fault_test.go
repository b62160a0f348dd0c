package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chicorydale/chicorydale/internal/membership"
)

// init makes rapid draw the same cases in each run, unless flags change that, and write no failure files.
func init() {
	for name, value := range map[string]string{"seed": "1", "checks": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// schedulerHost returns the name of the first router that schedules a pool.
func (f *fleet) schedulerHost(c *qt.C) string {
	for _, name := range f.names {
		if len(f.hosts[name].scheduler.Status(f.now)) > 0 {
			return name
		}
	}
	c.Fatal("no router schedules a pool")
	return ""
}

// hasNoRequests reports whether no request is open.
func (f *fleet) hasNoRequests() bool {
	for _, name := range f.names {
		if len(f.hosts[name].requests) > 0 {
			return false
		}
	}
	return true
}

// checkDrained reports an error for each request that still waits or runs, each slot that is still lent, and each recorded
// violation.
func (f *fleet) checkDrained(t rapid.TB) {
	for _, name := range f.names {
		h := f.hosts[name]
		if len(h.requests) > 0 {
			t.Errorf("%s: %d requests have not ended", name, len(h.requests))
		}
		for _, s := range h.scheduler.Status(f.now) {
			if s.Waiting+s.Running+s.Lent+s.Borrowed > 0 {
				t.Errorf("%s: pool %s is not idle: %+v", name, s.Pool, s)
			}
		}
	}
	for _, violation := range f.violations {
		t.Errorf("violation: %s", violation)
	}
	for _, e := range f.engines {
		if e.running != 0 {
			t.Errorf("%s still runs %d requests", e.Name, e.running)
		}
	}
}

// TestSchedulerRestart guards against a restarted scheduler that grants slots which requests from before the restart still use,
// or that grants none.
func TestSchedulerRestart(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 3, 2)
	f.addCustomer(1, 1)
	f.addCustomer(2, 1)
	scheduler := f.schedulerHost(c)
	for _, name := range f.names {
		if name != scheduler {
			f.keepRequestsOpen(name, 1, 300, 30, start.Add(time.Hour))
			f.keepRequestsOpen(name, 2, 20, 30, start.Add(time.Hour))
		}
	}
	f.run(10*time.Second, nil)
	before := f.totalServed()
	gap, watch := f.trackGap(f.now, 1, 2)
	for range 5 {
		f.restart(scheduler)
		f.run(4*time.Second, watch)
	}
	for _, e := range f.engines {
		c.Check(e.peak <= slots+1, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	c.Check(f.totalServed()-before > f.tokenCapacity(20*time.Second)*6/10, qt.IsTrue,
		qt.Commentf("served %d", f.totalServed()-before))
	c.Check(*gap < 2*slots*300, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Check(f.violations, qt.HasLen, 0)
}

// TestPartition guards against both sides of a partition granting all slots of the same targets, and against one side getting
// none.
func TestPartition(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 4, 2)
	f.addCustomer(1, 1)
	f.addCustomer(2, 1)
	f.keepRequestsOpen(f.names[0], 1, 50, 40, start.Add(40*time.Second))
	f.keepRequestsOpen(f.names[3], 2, 50, 40, start.Add(40*time.Second))
	f.run(10*time.Second, nil)
	f.partition(1)
	f.run(5*time.Second, nil)
	alone := f.servedTokens[1]
	f.run(15*time.Second, nil)
	// One of four routers is cut off. It must still serve its customer with a part of the slots.
	c.Check(f.servedTokens[1]-alone > f.tokenCapacity(15*time.Second)/16, qt.IsTrue,
		qt.Commentf("served %d", f.servedTokens[1]-alone))
	for _, e := range f.engines {
		// Each side grants at most its fraction of the slots that both sides see as free.
		c.Check(e.peak <= slots+slots/2, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	served := [2]int{f.servedTokens[1], f.servedTokens[2]}
	f.partition(0)
	f.run(40*time.Second, nil)
	c.Check(f.servedTokens[1] > served[0] && f.servedTokens[2] > served[1], qt.IsTrue)
	f.checkDrained(t)
}

// TestOneLinkDown guards against requests that wait until the link between their router and the scheduler is up again, although
// other routers still reach the scheduler.
func TestOneLinkDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 3, 2)
	f.addCustomer(1, 1)
	scheduler := f.schedulerHost(c)
	for _, at := range f.names {
		if at == scheduler {
			continue
		}
		f.partition(0)
		f.disconnect(at, scheduler)
		done := 0
		for range 10 {
			f.submit(at, 1, "long", 50, func(time.Duration) { done++ })
		}
		f.run(6*time.Second, nil)
		c.Check(done, qt.Equals, 10)
	}
}

// TestRepeatable guards against decisions that depend on the iteration order of a map.
func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	var results [2]string
	for i := range results {
		f := newFleet([]string{"a", "b"}, 3, 4)
		for customer := range uint32(12) {
			f.addCustomer(customer+1, 1+customer%3)
			f.keepRequestsOpen(f.names[customer%4], customer+1, 20+10*int(customer), 10, start.Add(time.Hour))
		}
		f.run(5*time.Second, nil)
		f.restart(f.schedulerHost(c))
		f.run(5*time.Second, nil)
		results[i] = fmt.Sprint(f.servedTokens, f.grantedRequests, f.sentBytes)
	}
	c.Assert(results[0], qt.Equals, results[1])
}

// TestFaults guards against lost requests, requests that run twice, and slots that stay occupied, after random sequences of
// restarts, partitions, membership changes and new requests.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SampledFrom([][]string{{"a"}, {"a", "a"}, {"a", "b"}}).Draw(t, "zones")
		f := newFleet(zones, 2, 2)
		f.addCustomer(1, 1)
		f.addCustomer(2, 3)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			at := rapid.SampledFrom(f.names).Draw(t, "at")
			other := rapid.SampledFrom(f.names).Draw(t, "other")
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0:
				f.restart(at)
			case 1:
				f.partition(rapid.IntRange(0, len(f.names)-1).Draw(t, "first"))
			case 2:
				f.disconnect(at, other)
				f.connect(at, other)
			case 3:
				f.disconnect(at, other)
			case 4:
				e := f.engines[rapid.IntRange(1, len(f.engines)-1).Draw(t, "engine")]
				f.setEngineState(e, rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "removed"))
			default:
				class := rapid.SampledFrom([]string{"quick", "long"}).Draw(t, "class")
				for range rapid.IntRange(10, 60).Draw(t, "requests") {
					f.submit(at, rapid.Uint32Range(1, 2).Draw(t, "customer"), class,
						rapid.IntRange(1, 80).Draw(t, "tokens"), func(time.Duration) {})
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "time"))*time.Millisecond, nil)
		}
		f.partition(0)
		for _, e := range f.engines {
			f.setEngineState(e, false, false)
		}
		for end := f.now.Add(time.Minute); f.now.Before(end) && !f.hasNoRequests(); {
			f.run(time.Second, nil)
		}
		f.run(6*time.Second, nil)
		f.checkDrained(t)
	})
}

var (
	_ = fmt.Sprint
	_ membership.View
)
