package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// widest returns a watch function that records the largest difference of weighted service between customers, counted
// from an instant on.
func (f *fleet) widest(after time.Time, customers ...uint32) (*int, func()) {
	gap, base := 0, make(map[uint32]int)
	return &gap, func() {
		if f.now.Before(after) {
			return
		}
		low, high := 0, 0
		for i, customer := range customers {
			if _, known := base[customer]; !known {
				base[customer] = f.served[customer]
			}
			share := (f.served[customer] - base[customer]) / int(f.weights[customer])
			if i == 0 {
				low, high = share, share
			}
			low, high = min(low, share), max(high, share)
		}
		gap = max(gap, high-low)
	}
}

// total returns the service of all customers in tokens.
func (f *fleet) total() int {
	sum := 0
	for _, served := range f.served {
		sum += served
	}
	return sum
}

// capacity returns the tokens that all slots can generate in some time.
func (f *fleet) capacity(length time.Duration) int {
	slots := 0
	for _, e := range f.engines {
		slots += e.Slots
	}
	return slots * int(length/tokenTime)
}

// Guards against a customer with long requests getting more service than one with short requests.
func TestUnequalCosts(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 2, 2)
	f.customer(1, 1)
	f.customer(2, 2)
	f.flood("r0-0", 1, 500, 40, start.Add(time.Hour))
	f.flood("r0-1", 2, 20, 40, start.Add(time.Hour))
	gap, watch := f.widest(start.Add(10*time.Second), 1, 2)
	f.run(time.Minute, watch)
	// Each of the slots holds at most one request that was charged and has not been served yet.
	c.Assert(*gap < 2*slots*500, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Assert(f.total() > f.capacity(time.Minute)*9/10, qt.IsTrue)
	c.Assert(f.faults, qt.HasLen, 0)
}

// Guards against customers of a crowded availability zone falling behind those of the other ones.
func TestUnevenCustomers(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a", "b", "c"}, 3, 6)
	customers := make([]uint32, 0, 16)
	for i := range uint32(16) {
		f.customer(i+1, 1)
		customers = append(customers, i+1)
		f.flood(f.names[i/13*3], i+1, 50+10*int(i), 60, start.Add(time.Hour))
	}
	gap, watch := f.widest(start.Add(20*time.Second), customers...)
	f.run(time.Minute, watch)
	// A router has 27 KB/s for control at 73 requests/s, half of it as a scheduler and half as an entry router.
	c.Assert(f.bytes/f.runs < 27000/73, qt.IsTrue, qt.Commentf("%d B for a request", f.bytes/f.runs))
	// A third of the slots serves one region for at most one exchange across regions and one largest request.
	c.Assert(*gap < 6*slots*(50+200), qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
	c.Assert(f.total() > f.capacity(time.Minute)*9/10, qt.IsTrue)
	c.Assert(f.faults, qt.HasLen, 0)
}

// Guards against a quiet customer waiting behind a flood, and against quick calls waiting behind long ones.
func TestQuietCustomer(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a"}, 2, 2)
	f.customer(1, 1)
	f.customer(2, 1)
	f.flood("r0-0", 1, 100, 500, start.Add(time.Hour))
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
		c.Check(long[i] <= 100*tokenTime+250*time.Millisecond, qt.IsTrue, qt.Commentf("long call waited %s", long[i]))
	}
}

// Guards against a customer that returns from idle being served alone until it has caught up, and against one that was
// served alone before waiting for those that were idle.
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
			f.customer(1, 1)
			f.customer(2, 1)
			f.flood("r0-1", 1, 50, 60, start.Add(20*time.Second-test.pause))
			f.run(20*time.Second, nil)
			f.flood(test.at, 2, 50, 60, start.Add(time.Hour))
			f.flood("r0-1", 1, 50, 60, start.Add(time.Hour))
			gap, watch := f.widest(f.now, 1, 2)
			f.run(20*time.Second, watch)
			// All slots may hold the first customer's requests when the second one returns.
			bound := 2 * len(f.engines) * slots * 50
			c.Assert(*gap < bound, qt.IsTrue, qt.Commentf("gap of %d tokens", *gap))
		})
	}
}

// Guards against targets idling in one region while requests wait in another.
func TestLending(t *testing.T) {
	c := qt.New(t)
	f := newFleet([]string{"a", "a", "b"}, 2, 2)
	f.customer(1, 1)
	f.flood("r0-0", 1, 200, 100, start.Add(time.Hour))
	f.run(10*time.Second, nil)
	before := f.total()
	f.run(20*time.Second, nil)
	c.Assert(f.total()-before > f.capacity(20*time.Second)*9/10, qt.IsTrue)
	for _, e := range f.engines {
		c.Check(e.peak <= slots+1, qt.IsTrue, qt.Commentf("%s ran %d requests", e.Name, e.peak))
	}
	for _, h := range f.hosts {
		for _, status := range h.scheduler.Status(f.now) {
			c.Check(status.Borrowed, qt.Equals, 0)
		}
	}
}
