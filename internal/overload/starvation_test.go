package overload_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// coreShare is the part of a core that a simulated router gets.
	coreShare = 0.192
	// refuseCost, readCost, connectCost and relayCost are the processor time for refusing a request before it is read, for reading it
	// and dialling its target, for sending it once the target has accepted the connection, and for relaying the answer.
	refuseCost  = 90 * time.Microsecond
	readCost    = 350 * time.Microsecond
	connectCost = 350 * time.Microsecond
	relayCost   = 400 * time.Microsecond
	// refuseUnreadCost is the processor time for refusing an accepted connection, of whose request the head is read.
	refuseUnreadCost = 15 * time.Microsecond
	// acceptSocketCost is the processor time for accepting a connection that is not registered with the poller of the runtime.
	acceptSocketCost = 10 * time.Microsecond
	// acceptCost, handoverCost and passCost are the processor time for accepting a connection, for handing it over to a peer, and for
	// passing the answer on.
	acceptCost   = 20 * time.Microsecond
	handoverCost = 60 * time.Microsecond
	passCost     = 40 * time.Microsecond
	// reportPeriod is the time between reports of spare processor time, networkDelay the time in which a message reaches a peer.
	reportPeriod = 250 * time.Millisecond
	networkDelay = time.Millisecond
	// linkCost is the processor time for messages of peers in each linkPeriod.
	linkCost   = time.Millisecond
	linkPeriod = 25 * time.Millisecond
	// connectTimeout is how long a router waits for a connection to a target, connectAttempts how often it tries.
	connectTimeout  = 400 * time.Millisecond
	connectAttempts = 4
	// answerTime is the time in which a target answers.
	answerTime = 100 * time.Millisecond
	// patience is how long a caller waits, readPatience how long until its request is read. retryDelay is the time after which it sends a
	// request once more that was refused or not read.
	patience     = 2500 * time.Millisecond
	readPatience = 800 * time.Millisecond
	retryDelay   = 400 * time.Millisecond
	// unhurriedStarts is the number of requests per second that the router begins if it has nothing to refuse. Customers at other
	// routers are taken to get as much.
	unhurriedStarts = 137
)

// job is work that waits for the processor of a simulated router.
type job struct {
	readyAt time.Time
	number  int
	work    func() time.Duration
}

// jobs is a heap of jobs in the order in which they became ready.
type jobs []job

func (h jobs) Len() int { return len(h) }
func (h jobs) Less(i, j int) bool {
	if h[i].readyAt.Equal(h[j].readyAt) {
		return h[i].number < h[j].number
	}
	return h[i].readyAt.Before(h[j].readyAt)
}
func (h jobs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(j any)   { *h = append(*h, j.(job)) }
func (h *jobs) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// starvedRouter is a router with too little processor time for its callers, in virtual time. It runs jobs in the order in which they
// became ready, one at a time.
type starvedRouter struct {
	now     time.Time
	random  *rand.Rand
	shedder *overload.LoadShedder
	// admission decides which connections are refused unread.
	admission *overload.Admission
	waiting   jobs
	numJobs   int
	// peers are the other routers of the availability zone.
	peers    map[string]*starvedRouter
	handover *overload.Handover
	// unstarted is the number of accepted connections that wait for the processor.
	unstarted int
	// busy is the processor time that was used since the last report.
	busy time.Duration
	// asked and begun hold the number of requests that each customer sent, and that a target began, in each second.
	asked, begun map[string][]int
}

// newStarvedRouter returns a router without callers that gets the messages of its peers for a time.
func newStarvedRouter(seed uint64, length time.Duration) *starvedRouter {
	r := &starvedRouter{
		now: startTime, random: rand.New(rand.NewPCG(seed, 5)), shedder: overload.New(), handover: overload.NewHandover(seed),
		admission: overload.NewAdmission(coreShare),
		asked:     make(map[string][]int), begun: make(map[string][]int),
	}
	for at := startTime; at.Sub(startTime) < length; at = at.Add(linkPeriod) {
		r.queue(at, func() time.Duration { return linkCost })
	}
	return r
}

// addCallers adds callers that send new requests at the given rates per second for a time.
func (r *starvedRouter) addCallers(seed uint64, length time.Duration, rates map[string]float64) {
	for customer, rate := range rates {
		r.asked[customer] = make([]int, int(length/time.Second)+1)
		r.begun[customer] = make([]int, int(length/time.Second)+1)
		at := startTime
		for arrivals := rand.New(rand.NewPCG(seed, uint64(customer[0]))); at.Sub(startTime) < length; {
			at = at.Add(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
			arrivedAt := at
			r.count(r.asked, customer, arrivedAt)
			r.queue(arrivedAt, func() time.Duration { return r.receive(customer, arrivedAt, true) })
		}
	}
}

// runNext runs the job that has waited longest.
func (r *starvedRouter) runNext() {
	next, _ := heap.Pop(&r.waiting).(job)
	if next.readyAt.After(r.now) {
		r.now = next.readyAt
	}
	cost := next.work()
	r.busy += cost
	r.now = r.now.Add(time.Duration(float64(cost) / coreShare))
}

// nextStart returns the time at which the router runs its next job, which must exist.
func (r *starvedRouter) nextStart() time.Time {
	if next := r.waiting[0].readyAt; next.After(r.now) {
		return next
	}
	return r.now
}

// playStarved plays a router with callers that send new requests at the given rates per second for a time.
func playStarved(seed uint64, length time.Duration, rates map[string]float64) *starvedRouter {
	r := newStarvedRouter(seed, length)
	r.addCallers(seed, length, rates)
	for len(r.waiting) > 0 && r.now.Sub(startTime) < length {
		r.runNext()
	}
	return r
}

// playZone plays the routers of an availability zone for a time. All callers come to the first one. It returns the sums over the zone.
func playZone(seed uint64, length time.Duration, size int, rates map[string]float64) *starvedRouter {
	zone := make([]*starvedRouter, size)
	for i := range zone {
		zone[i] = newStarvedRouter(seed+uint64(i), length)
		zone[i].asked, zone[i].begun = zone[0].asked, zone[0].begun
	}
	for i, r := range zone {
		r.peers = make(map[string]*starvedRouter)
		for j, peer := range zone {
			if i != j {
				r.peers[strconv.Itoa(j)] = peer
			}
		}
		r.reportLoad(strconv.Itoa(i), startTime.Add(reportPeriod))
	}
	zone[0].addCallers(seed, length, rates)
	for {
		next := slices.MinFunc(zone, func(a, b *starvedRouter) int { return a.nextStart().Compare(b.nextStart()) })
		if next.nextStart().Sub(startTime) >= length {
			return zone[0]
		}
		next.runNext()
	}
}

// queue adds work that is ready at a time.
func (r *starvedRouter) queue(readyAt time.Time, work func() time.Duration) {
	r.numJobs++
	heap.Push(&r.waiting, job{readyAt: readyAt, number: r.numJobs, work: work})
}

// count adds a request to the current second.
func (r *starvedRouter) count(counts map[string][]int, customer string, at time.Time) {
	if second := int(at.Sub(startTime) / time.Second); second < len(counts[customer]) {
		counts[customer][second]++
	}
}

// reportLoad sends the spare processor time to the peers at a time, and again in each reportPeriod.
func (r *starvedRouter) reportLoad(name string, at time.Time) {
	r.queue(at, func() time.Duration {
		spare := time.Duration((coreShare - float64(r.busy)/float64(reportPeriod)) * float64(time.Second))
		r.busy = 0
		for _, peer := range r.peers {
			peer.queue(r.now.Add(networkDelay), func() time.Duration {
				peer.handover.RecordPeer(peer.now, name, max(spare, 0))
				return 0
			})
		}
		r.reportLoad(name, at.Add(reportPeriod))
		return 0
	})
}

// receive accepts a new connection with a request, and hands it over to a peer or keeps it. mayReturn is set if the caller sends the
// request once more.
func (r *starvedRouter) receive(customer string, arrivedAt time.Time, mayReturn bool) time.Duration {
	acceptedAt := r.now
	cost := r.handover.ConnCost(r.now)
	if !r.admission.MayRefuse(r.now, r.now.Sub(arrivedAt)) {
		r.admission.Begin(r.now, cost)
	} else if r.admission.ShouldRefuse(r.now, customer, overload.WithinShare, cost) {
		r.returnAfter(customer, r.now, mayReturn)
		return acceptSocketCost + refuseUnreadCost
	}
	peer, choice := r.handover.Pick(r.now, r.unstarted)
	handedOver := choice == overload.HandOver
	r.unstarted++
	r.queue(r.now, func() time.Duration {
		r.unstarted--
		r.handover.RecordStartDelay(r.now, r.now.Sub(acceptedAt))
		if !handedOver {
			return r.accept(customer, arrivedAt, mayReturn)
		}
		receiver := r.peers[peer]
		receiver.queue(r.now.Add(networkDelay), func() time.Duration { return receiver.accept(customer, arrivedAt, mayReturn) })
		r.queue(r.now.Add(answerTime), func() time.Duration { return passCost })
		return handoverCost
	})
	return acceptCost
}

// returnAfter lets a caller send its request once more, a retryDelay after a time, if it may.
func (r *starvedRouter) returnAfter(customer string, since time.Time, mayReturn bool) {
	if again := since.Add(retryDelay); mayReturn {
		r.queue(again, func() time.Duration { return r.receive(customer, again, false) })
	}
}

// accept handles a connection with a request. mayReturn is set if the caller sends the request once more.
func (r *starvedRouter) accept(customer string, arrivedAt time.Time, mayReturn bool) time.Duration {
	if r.now.Sub(arrivedAt) > readPatience {
		r.returnAfter(customer, arrivedAt.Add(readPatience), mayReturn)
		return refuseCost / 2
	}
	r.shedder.RecordStartDelay(r.now, r.now.Sub(arrivedAt))
	if r.shedder.IsOverloaded(r.now) && r.shedder.ShouldRefuse(r.now, customer, r.random.Float64()) {
		r.returnAfter(customer, r.now, mayReturn)
		return refuseCost
	}
	r.shedder.RecordOutcome(r.now, customer, false)
	r.dial(customer, arrivedAt, connectAttempts)
	return readCost
}

// dial opens a connection to a target, which accepts it after a millisecond. The router learns it when it gets the processor.
func (r *starvedRouter) dial(customer string, arrivedAt time.Time, attempts int) {
	dialledAt := r.now
	r.queue(r.now.Add(time.Millisecond), func() time.Duration {
		switch {
		case r.now.Sub(arrivedAt) > patience:
			return refuseCost
		case r.now.Sub(dialledAt) <= connectTimeout:
			r.count(r.begun, customer, r.now)
			r.queue(r.now.Add(answerTime), func() time.Duration { return relayCost })
		case attempts > 1:
			r.dial(customer, arrivedAt, attempts-1)
		}
		return connectCost
	})
}

// TestStarvedRouterServesItsCustomers guards against a router that has too little processor time, and begins far less for its
// customers than it has time for, or nothing of a small customer, while customers at other routers are served.
func TestStarvedRouterServesItsCustomers(t *testing.T) {
	const warmUp, seconds = 2, 12
	for seed := range uint64(5) {
		r := playStarved(seed, seconds*time.Second, map[string]float64{"crowd": 500, "desk": 40})
		for customer, asked := range r.asked {
			owed, got := 0, 0
			for second := warmUp; second < seconds; second++ {
				owed += min(asked[second], unhurriedStarts)
				got += r.begun[customer][second]
			}
			qt.Check(t, 2*got >= owed, qt.IsTrue, qt.Commentf("seed %d: %s got %d of %d, by seconds %v", seed, customer, got, owed,
				r.begun[customer]))
		}
	}
}

// TestCustomerAtBusyRouterIsServedByItsZone guards against a customer that gets far less than it asks for because the balancer sends its
// callers to one router without processor time for them, while the routers beside it are idle.
func TestCustomerAtBusyRouterIsServedByItsZone(t *testing.T) {
	const warmUp, seconds, zoneSize = 2, 12, 9
	for seed := range uint64(5) {
		zone := playZone(seed, seconds*time.Second, zoneSize, map[string]float64{"crowd": 400, "desk": 40})
		for customer, asked := range zone.asked {
			owed, got := 0, 0
			for second := warmUp; second < seconds; second++ {
				owed += asked[second]
				got += zone.begun[customer][second]
			}
			qt.Check(t, 2*got >= owed, qt.IsTrue, qt.Commentf("seed %d: %s got %d of %d, by seconds %v", seed, customer, got, owed,
				zone.begun[customer]))
		}
	}
}
