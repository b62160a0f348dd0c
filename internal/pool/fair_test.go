package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trackGap returns a pointer to the largest difference in weighted service between the customers so far, in tokens, and the
// function that updates it, for use as the watch function of run. Service before the given time is not counted.
func (f *fleet) trackGap(after time.Time, customers ...uint32) (*int, func()) {
	gap, base := 0, make(map[uint32]int)
	return &gap, func() {
		if f.now.Before(after) {
			return
		}
		low, high := 0, 0
		for i, customer := range customers {
			if _, known := base[customer]; !known {
				base[customer] = f.servedTokens[customer]
			}
			share := (f.servedTokens[customer] - base[customer]) / int(f.weights[customer])
			if i == 0 {
				low, high = share, share
			}
			low, high = min(low, share), max(high, share)
		}
		gap = max(gap, high-low)
	}
}

// totalServed returns the service of all customers in tokens.
func (f *fleet) totalServed() int {
	sum := 0
	for _, served := range f.servedTokens {
		sum += served
	}
	return sum
}

// tokenCapacity returns the number of tokens that all slots can generate in the given time.
func (f *fleet) tokenCapacity(length time.Duration) int {
	slots := 0
	for _, e := range f.engines {
		slots += e.Slots
	}
	return slots * int(length/timePerToken)
}

// utilisation runs the fleet for the given time and returns the part of its token capacity that was used.
func (f *fleet) utilisation(length time.Duration) float64 {
	before := f.totalServed()
	f.run(length, nil)
	return float64(f.totalServed()-before) / float64(f.tokenCapacity(length))
}

// TestUnequalCosts guards against a customer with long requests getting more service than one with short requests, because slots
// are shared by the number of requests instead of their cost.
func TestUnequalCosts(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 2, 2)
	f.addCustomer(1, 1)
	f.addCustomer(2, 2)
	f.keepRequestsOpen("r0-0", 1, 500, 40, start.Add(time.Hour))
	f.keepRequestsOpen("r0-1", 2, 20, 40, start.Add(time.Hour))
	gap, watch := f.trackGap(start.Add(10*time.Second), 1, 2)
	f.run(time.Minute, watch)
	// Each slot holds at most one request that was charged and has not been served yet.
	c.Assert(*gap < 2*slots*500, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Assert(f.totalServed() > f.tokenCapacity(time.Minute)*9/10, qt.IsTrue)
	c.Assert(f.violations, qt.HasLen, 0)
}

// TestUnevenCustomers guards against customers in an availability zone with many customers falling behind those in other zones.
func TestUnevenCustomers(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a", "b", "c"}, 3, 6)
	customers := make([]uint32, 0, 16)
	for i := range uint32(16) {
		f.addCustomer(i+1, 1)
		customers = append(customers, i+1)
		f.keepRequestsOpen(f.names[i/13*3], i+1, 50+10*int(i), 60, start.Add(time.Hour))
	}
	gap, watch := f.trackGap(start.Add(20*time.Second), customers...)
	f.run(time.Minute, watch)
	// A router may send 27 KB/s of control messages at 73 requests/s, half of it as a scheduler and half as an entry router.
	c.Assert(f.sentBytes/f.grantedRequests < 27000/73, qt.IsTrue, qt.Commentf("%d B for a request", f.sentBytes/f.grantedRequests))
	// A third of the slots serves one region for at most one report period across regions and the longest request.
	c.Assert(*gap < 6*slots*(50+200), qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Assert(f.totalServed() > f.tokenCapacity(time.Minute)*9/10, qt.IsTrue)
	c.Assert(f.violations, qt.HasLen, 0)
}

// TestManyPools guards against pools in another region that stay idle because they get no summaries of the waiting requests.
func TestManyPools(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a", "b"}, 12, 12)
	f.addCustomer(1, 1)
	f.keepRequestsOpen("r0-0", 1, 50, 600, start.Add(time.Hour))
	f.run(5*time.Second, nil)
	c.Assert(f.utilisation(10*time.Second) > 0.9, qt.IsTrue)
}

// TestQuietCustomer guards against a customer with few requests waiting behind one with very many, and against quick requests
// waiting behind long ones.
func TestQuietCustomer(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 2, 2)
	f.addCustomer(1, 1)
	f.addCustomer(2, 1)
	f.keepRequestsOpen("r0-0", 1, 100, 500, start.Add(time.Hour))
	f.run(5*time.Second, nil)
	var quick, long []time.Duration
	for range 20 {
		f.submit("r0-1", 2, "quick", 5, func(waited time.Duration) { quick = append(quick, waited) })
		f.submit("r0-1", 2, "long", 100, func(waited time.Duration) { long = append(long, waited) })
		f.run(4500*time.Millisecond, nil)
	}
	c.Assert(quick, qt.HasLen, 20)
	c.Assert(long, qt.HasLen, 20)
	for i := range quick {
		c.Check(quick[i] < 250*time.Millisecond, qt.IsTrue, qt.Commentf("quick call waited %s", quick[i]))
		c.Check(long[i] <= 100*timePerToken+250*time.Millisecond, qt.IsTrue, qt.Commentf("long call waited %s", long[i]))
	}
}

// TestReturnFromIdle guards against a customer that returns from idle being served alone until its counter has caught up, and
// against a customer that was served while others were idle having to wait for them.
func TestReturnFromIdle(t *testing.T) {
	for name, test := range map[string]struct {
		zones []string
		pause time.Duration
		at    string
	}{
		"busy pool":       {[]string{"a"}, 0, "r0-0"},
		"idle pool":       {[]string{"a"}, 5 * time.Second, "r0-0"},
		"pool without it": {[]string{"a", "a"}, 0, "r1-0"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(test.zones, 2, 2)
			f.addCustomer(1, 1)
			f.addCustomer(2, 1)
			f.keepRequestsOpen("r0-1", 1, 50, 60, start.Add(20*time.Second-test.pause))
			f.run(20*time.Second, nil)
			f.keepRequestsOpen(test.at, 2, 50, 60, start.Add(time.Hour))
			f.keepRequestsOpen("r0-1", 1, 50, 60, start.Add(time.Hour))
			gap, watch := f.trackGap(f.now, 1, 2)
			f.run(20*time.Second, watch)
			// All slots may hold requests of the first customer when the second one returns.
			bound := 2 * len(f.engines) * slots * 50
			c.Assert(*gap < bound, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
		})
	}
}

// TestLending guards against targets that stay idle while requests wait in another availability zone or region.
func TestLending(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a", "a", "b"}, 2, 2)
	f.addCustomer(1, 1)
	f.keepRequestsOpen("r0-0", 1, 200, 100, start.Add(time.Hour))
	f.run(10*time.Second, nil)
	c.Assert(f.utilisation(20*time.Second) > 0.9, qt.IsTrue)
	for _, e := range f.engines {
		c.Check(e.peak <= slots+1, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	for _, h := range f.hosts {
		for _, status := range h.scheduler.Status(f.now) {
			c.Check(status.Borrowed, qt.Equals, 0)
		}
	}
}
