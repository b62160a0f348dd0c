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

// Rapid draws the same cases in each run unless its flags say otherwise, and leaves no files.
func init() {
	for name, value := range map[string]string{"seed": "1", "checks": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// scheduler returns the name of the router that schedules the only pool of the first availability zone.
func (f *fleet) scheduler(c *qt.C) string {
	for _, name := range f.names {
		if len(f.hosts[name].scheduler.Status(f.now)) > 0 {
			return name
		}
	}
	c.Fatal("no router schedules")
	return ""
}

// idle reports whether no request is open.
func (f *fleet) idle() bool {
	for _, name := range f.names {
		if len(f.hosts[name].calls) > 0 {
			return false
		}
	}
	return true
}

// calm checks that nothing waits, runs or is lent any more.
func (f *fleet) calm(t rapid.TB) {
	for _, name := range f.names {
		h := f.hosts[name]
		if len(h.calls) > 0 {
			t.Errorf("%s: %d requests were forgotten", name, len(h.calls))
		}
		for _, s := range h.scheduler.Status(f.now) {
			if s.Waiting+s.Running+s.Lent+s.Borrowed > 0 {
				t.Errorf("%s: schedule of %s is not empty: %+v", name, s.Pool, s)
			}
		}
	}
	for _, fault := range f.faults {
		t.Errorf("fault: %s", fault)
	}
	for _, e := range f.engines {
		if e.running != 0 {
			t.Errorf("%s runs %d requests", e.Name, e.running)
		}
	}
}

// Guards against a restarted scheduler that fills slots in use, or that starts no work.
func TestSchedulerRestart(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 3, 2)
	f.customer(1, 1)
	f.customer(2, 1)
	scheduler := f.scheduler(c)
	for _, name := range f.names {
		if name != scheduler {
			f.flood(name, 1, 300, 30, start.Add(time.Hour))
			f.flood(name, 2, 20, 30, start.Add(time.Hour))
		}
	}
	f.run(10*time.Second, nil)
	before := f.total()
	gap, watch := f.widest(f.now, 1, 2)
	for range 5 {
		f.boot(scheduler)
		f.run(4*time.Second, watch)
	}
	for _, e := range f.engines {
		c.Check(e.peak <= slots+1, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	c.Check(f.total()-before > f.capacity(20*time.Second)*6/10, qt.IsTrue, qt.Commentf("served %d", f.total()-before))
	c.Check(*gap < 2*slots*300, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Check(f.faults, qt.HasLen, 0)
}

// Guards against two sides of a partition that each fill all slots, and against one side getting nothing.
func TestSplitView(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 4, 2)
	f.customer(1, 1)
	f.customer(2, 1)
	f.flood(f.names[0], 1, 50, 40, start.Add(40*time.Second))
	f.flood(f.names[3], 2, 50, 40, start.Add(40*time.Second))
	f.run(10*time.Second, nil)
	f.split(1)
	f.run(5*time.Second, nil)
	alone := f.served[1]
	f.run(15*time.Second, nil)
	// One of four routers is alone: it keeps on working with a part of the slots.
	c.Check(f.served[1]-alone > f.capacity(15*time.Second)/16, qt.IsTrue, qt.Commentf("served %d", f.served[1]-alone))
	for _, e := range f.engines {
		// Each side adds at most its fraction of the slots that both see as free.
		c.Check(e.peak <= slots+slots/2, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	served := [2]int{f.served[1], f.served[2]}
	f.split(0)
	f.run(40*time.Second, nil)
	c.Check(f.served[1] > served[0] && f.served[2] > served[1], qt.IsTrue)
	f.calm(t)
}

// Guards against requests that wait for the end of a fault between their router and the scheduler, which other routers
// still reach.
func TestOneLinkDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 3, 2)
	f.customer(1, 1)
	scheduler := f.scheduler(c)
	for _, at := range f.names {
		if at == scheduler {
			continue
		}
		f.split(0)
		f.disconnect(at, scheduler)
		done := 0
		for range 10 {
			f.submit(at, 1, "long", 50, func(time.Duration) { done++ })
		}
		f.run(6*time.Second, nil)
		c.Check(done, qt.Equals, 10)
	}
}

// Guards against decisions that depend on the order of a map.
func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	var results [2]string
	for i := range results {
		f := newFleet([]string{"a", "b"}, 3, 4)
		for customer := range uint32(12) {
			f.customer(customer+1, 1+customer%3)
			f.flood(f.names[customer%4], customer+1, 20+10*int(customer), 10, start.Add(time.Hour))
		}
		f.run(5*time.Second, nil)
		f.boot(f.scheduler(c))
		f.run(5*time.Second, nil)
		results[i] = fmt.Sprint(f.served, f.runs, f.bytes)
	}
	c.Assert(results[0], qt.Equals, results[1])
}

// Guards against lost, doubled and forgotten requests, and against slots that stay taken, under any order of restarts,
// partitions and new work.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SampledFrom([][]string{{"a"}, {"a", "a"}, {"a", "b"}}).Draw(t, "zones")
		f := newFleet(zones, 2, 2)
		f.customer(1, 1)
		f.customer(2, 3)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			at := rapid.SampledFrom(f.names).Draw(t, "at")
			other := rapid.SampledFrom(f.names).Draw(t, "other")
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0:
				f.boot(at)
			case 1:
				f.split(rapid.IntRange(0, len(f.names)-1).Draw(t, "first"))
			case 2:
				f.disconnect(at, other)
				f.connect(at, other)
			case 3:
				f.disconnect(at, other)
			case 4:
				e := f.engines[rapid.IntRange(1, len(f.engines)-1).Draw(t, "engine")]
				f.leave(e, rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "removed"))
			default:
				class := rapid.SampledFrom([]string{"quick", "long"}).Draw(t, "class")
				for range rapid.IntRange(10, 60).Draw(t, "requests") {
					f.submit(at, rapid.Uint32Range(1, 2).Draw(t, "customer"), class,
						rapid.IntRange(1, 80).Draw(t, "tokens"), func(time.Duration) {})
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "time"))*time.Millisecond, nil)
		}
		f.split(0)
		for _, e := range f.engines {
			f.leave(e, false, false)
		}
		for end := f.now.Add(time.Minute); f.now.Before(end) && !f.idle(); {
			f.run(time.Second, nil)
		}
		f.run(6*time.Second, nil)
		f.calm(t)
	})
}

var (
	_ = fmt.Sprint
	_ membership.View
)
