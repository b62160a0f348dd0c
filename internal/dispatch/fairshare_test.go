package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// hashOf returns the hash by which messages between routers identify a name.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// newActivity returns a message of a peer about a queue and about customers.
func newActivity(line *fleetpb.Line, customers ...*fleetpb.CustomerUse) *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_Activity{Activity: &fleetpb.Activity{
		Lines: []*fleetpb.Line{line}, Customers: customers,
	}}}
}

// checkShares fails the test if a customer got less than half of what it is owed in some window of a simulation.
func checkShares(t *testing.T, f *simFleet) {
	t.Helper()
	worst := f.worstWindow()
	t.Logf("%s got %.2f of what it is owed in the six seconds from second %d", worst.customer, worst.got/worst.owed, worst.from)
	qt.Check(t, worst.got >= worst.owed/2, qt.IsTrue, qt.Commentf("seed %d: %+v", f.seed, worst))
}

// smallLoads returns the loads of customers that send one in a hundred of what the fleet serves, at all routers.
func smallLoads(f *simFleet, count int, until time.Duration) []load {
	loads := make([]load, 0, count)
	for i := range count {
		loads = append(loads, load{customer: fmt.Sprint("small", i), perSecond: f.capacity() / 100, until: until})
	}
	return loads
}

// TestIdleCustomerGetsNoCreditForThePast guards against customers that sent nothing for some seconds and then displace the others,
// one after another, until they have caught up with their usage.
func TestIdleCustomerGetsNoCreditForThePast(t *testing.T) {
	const length = 14 * time.Second
	for seed := range uint64(3) {
		f := newSimFleet(seed, 4, 3, 8)
		f.run(length, append(
			smallLoads(f, 20, length),
			load{customer: "busy", at: "r0a", perSecond: f.capacity(), until: length},
			load{customer: "tied", at: "r1a", perSecond: f.capacity(), until: length},
			load{customer: "first", perSecond: f.capacity(), from: 6 * time.Second, until: length},
			load{customer: "second", perSecond: f.capacity(), from: 8 * time.Second, until: length},
			load{customer: "third", perSecond: f.capacity(), from: 10 * time.Second, until: length},
		))
		checkShares(t, f)
	}
}

// TestCustomerOfOneRouterGetsItsShare guards against a customer that gets less than others because all its callers are connected
// to one router, while those of the others are spread over the fleet.
func TestCustomerOfOneRouterGetsItsShare(t *testing.T) {
	const length = 10 * time.Second
	f := newSimFleet(0, 4, 3, 8)
	f.run(length, append(
		smallLoads(f, 20, length),
		load{customer: "wide", perSecond: f.capacity() * 1.2, until: length},
		load{customer: "single", at: "r0a-0", perSecond: f.capacity(), until: length},
	))
	checkShares(t, f)
}

// TestSharesHoldUnderRandomLoads guards against customers that get less than half of what they are owed under loads that nobody thought
// of: up to six large customers, at one router, in one availability zone or at all routers, that come and go. The environment
// variable SHARES sets the number of seeds.
func TestSharesHoldUnderRandomLoads(t *testing.T) {
	const length = 14 * time.Second
	seeds := uint64(2)
	if text := os.Getenv("SHARES"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		seeds = parsed
	}
	places := []string{"", "", "r0a", "r1b", "r2a-1", "r0b-0"}
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newSimFleet(seed, 4, 3, 8)
		loads := smallLoads(f, 10, length)
		for i := range 2 + random.IntN(5) {
			for range 1 + random.IntN(2) {
				from := time.Duration(random.IntN(10)) * time.Second
				loads = append(loads, load{
					customer: fmt.Sprint("large", i), at: places[random.IntN(len(places))], perSecond: f.capacity() * (0.3 + random.Float64()),
					from: from, until: from + time.Duration(3+random.IntN(10))*time.Second,
				})
			}
		}
		f.run(length, loads)
		checkShares(t, f)
	}
}

// arriveLong submits a request with a prompt that takes a target most of the objective to read, and schedules the next one.
func (f *simFleet) arriveLong(customer string, every time.Duration) {
	request := newRequest(f.now, customer, uint64(1_000_000+f.numbers))
	request.PromptTokens = 60_000
	f.submit(f.routers[f.random.IntN(len(f.routers))], simRequest{Request: request})
	f.after(every, func() { f.arriveLong(customer, every) })
}

// TestCustomerWithLongPromptsIsNotStarved guards against a customer far below its share whose requests are refused one after the other, since
// no target can answer them in time while another customer floods the fleet with short ones.
func TestCustomerWithLongPromptsIsNotStarved(t *testing.T) {
	const length = 12 * time.Second
	for seed := range uint64(3) {
		f := newSimFleet(seed, 4, 3, 8)
		f.after(0, func() { f.arriveLong("long", 250*time.Millisecond) })
		f.run(length, append(smallLoads(f, 5, length), load{customer: "flood", perSecond: f.capacity() * 2.5, until: length}))
		got, asked := 0.0, 0.0
		for second := 2; second < int(length/time.Second)-1; second++ {
			got += f.seen["long"].started[second]
			asked += f.seen["long"].asked[second]
		}
		t.Logf("seed %d: got %.2f of what it asked for", seed, got/asked)
		qt.Check(t, got >= asked/2, qt.IsTrue)
	}
}

// TestQueueIsNotPacedByWaitingPeers guards against a router that leaves each free slot to its peers for a while as long as a
// request waits at any of them. Its own customers then start a few requests per second, however many slots become free.
func TestQueueIsNotPacedByWaitingPeers(t *testing.T) {
	const slots, steps = 8, 200
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, slots))
	d.AddPeer(startTime, dispatch.Peer{Name: "b", Region: "r"})
	now := startTime
	var running []uint64
	started := 0
	takeDecisions := func() {
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				started++
				running = append(running, decision.ID)
				d.RecordFirstByte(now, decision.ID, nil)
			}
		}
	}
	for step := range steps {
		now = now.Add(10 * time.Millisecond)
		d.Receive(now, "b", newActivity(&fleetpb.Line{Service: hashOf("m"), Waiting: 2}))
		if len(running) >= slots || step > slots && len(running) > 0 {
			d.Finish(now, running[0], dispatch.Done)
			running = running[1:]
		}
		takeDecisions()
		d.Submit(now, newRequest(now, "c", 9))
		takeDecisions()
	}
	qt.Check(t, started >= steps*3/4, qt.IsTrue, qt.Commentf("%d requests started although %d slots became free", started, steps))
}

// TestShareHoldsWhileRequestsWaitAtPeer guards against a customer that exceeds its share at routers without a queue while
// requests of other customers wait elsewhere. It also guards against shares that hold up the fleet although most targets are
// available, because one router cannot reach them.
func TestShareHoldsWhileRequestsWaitAtPeer(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(8, 1))
	d.AddPeer(startTime, dispatch.Peer{Name: "b", Region: "r"})
	now := startTime
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		answerAndFinish(d, now, submitOne(t, d, now, newRequest(now, "heavy", 9)).ID)
	}
	running := make([]uint64, 0, 6)
	for range cap(running) {
		decision := submitOne(t, d, now, newRequest(now, "heavy", 9))
		d.RecordFirstByte(now, decision.ID, nil)
		running = append(running, decision.ID)
	}
	waitingAtPeer := newActivity(&fleetpb.Line{Service: hashOf("m"), Waiting: 5}, &fleetpb.CustomerUse{
		Customer: hashOf("m/other"), Service: hashOf("m"), Usage: 50_000, Demand: 500_000,
	})
	d.Receive(now, "b", waitingAtPeer)
	now = now.Add(100 * time.Millisecond)
	decision := submitOne(t, d, now, newRequest(now, "heavy", 9))
	qt.Assert(t, decision.Refusal != nil, qt.IsTrue)
	qt.Check(t, decision.Refusal.Message, qt.Equals, "the customer has its share")
	for _, id := range running {
		d.Finish(now, id, dispatch.Done)
	}
	qt.Check(t, submitOne(t, d, now, newRequest(now, "heavy", 9)).Refusal == nil, qt.IsTrue)
}

// TestRouterHoldsCustomerToItsPart guards against routers that each give a customer its whole share until they learn of its usage at
// the others.
func TestRouterHoldsCustomerToItsPart(t *testing.T) {
	const cost, requests = 5200, 100
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(8, 1))
	d.AddPeer(startTime, dispatch.Peer{Name: "b", Region: "r"})
	now := startTime
	for range 6 {
		d.RecordFirstByte(now, submitOne(t, d, now, newRequest(now, "other", 9)).ID, nil)
	}
	// The peer gets nine tenths of the customer's requests, and has started requests of another customer.
	d.Receive(now, "b", newActivity(&fleetpb.Line{Service: hashOf("m"), Waiting: 5},
		&fleetpb.CustomerUse{Customer: hashOf("m/wide"), Service: hashOf("m"), Demand: 9 * requests * cost},
		&fleetpb.CustomerUse{Customer: hashOf("m/other"), Service: hashOf("m"), Usage: requests * cost, Demand: 10 * requests * cost},
	))
	started := 0
	for range requests {
		now = now.Add(time.Millisecond)
		d.Submit(now, newRequest(now, "wide", 9))
		for _, decision := range d.TakeDecisions() {
			if decision.Refusal == nil {
				started++
				answerAndFinish(d, now, decision.ID)
			}
		}
	}
	part := float64(6+requests+started) / 2 / 10
	note := qt.Commentf("%d requests started, the part is %.1f", started, part)
	qt.Check(t, float64(started) <= part*1.1+1, qt.IsTrue, note)
	qt.Check(t, float64(started) >= part/2, qt.IsTrue, note)
}

// TestLoneCustomerIsNotRefusedForItsShare guards against a share that is older than the usage that it is compared with. A customer
// without competitors then exceeds the share of a moment ago.
func TestLoneCustomerIsNotRefusedForItsShare(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 1))
	now := startTime
	running := submitOne(t, d, now, newRequest(now, "c", 9)).ID
	for range 5 {
		waiting := d.Submit(now, newRequest(now, "c", 9))
		qt.Assert(t, d.TakeDecisions(), qt.HasLen, 0)
		now = now.Add(5 * time.Millisecond)
		answerAndFinish(d, now, running)
		decisions := d.TakeDecisions()
		qt.Assert(t, decisions, qt.HasLen, 1)
		qt.Assert(t, decisions[0].ID, qt.Equals, waiting)
		qt.Assert(t, decisions[0].Refusal == nil, qt.IsTrue)
		running = waiting
	}
}

// TestRefundReachesPeers guards against peers that go on counting the usage of requests that no target ran. Their customer is then
// refused at the peers for a share that it did not get.
func TestRefundReachesPeers(t *testing.T) {
	a, b := newPeerPair(newTargets(1, 1))
	now := startTime
	failed := submitOne(t, a, now, newRequest(now, "unlucky", 9))
	exchangeMessages(now, a, b)
	now = now.Add(50 * time.Millisecond)
	a.Finish(now, failed.ID, dispatch.Rejected)
	exchangeMessages(now, a, b)
	for range 10 {
		b.Submit(now, newRequest(now, "unlucky", 9))
	}
	started := 0
	for _, decision := range b.TakeDecisions() {
		if decision.Refusal == nil {
			started++
		}
	}
	statuses := b.TakeCustomerStatuses(now, 8)
	qt.Assert(t, statuses, qt.HasLen, 1)
	qt.Check(t, statuses[0].Usage, qt.Equals, 5200*started)
}
