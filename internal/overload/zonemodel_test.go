package overload_test

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// syscallCost is the processor time of a system call with what the kernel does for it, wakeCost that of waking the process. The host
	// charges both, and what a process learns of its own usage does not include them.
	syscallCost = 2 * time.Microsecond
	wakeCost    = 8 * time.Microsecond
	// acceptCalls, dialCalls, passCalls and closeCalls are the system calls for accepting a connection, for opening one, for passing a part
	// on, and for closing one.
	acceptCalls, dialCalls, passCalls, closeCalls = 4, 9, 4, 2
	// refuseUnreadCalls are the system calls for accepting and refusing a connection unread, keepCalls those for looking at its request when it
	// is not refused.
	refuseUnreadCalls, keepCalls = 5, 1
	// refusalsPerTurn is the number of refusals after which a goroutine lets others run.
	refusalsPerTurn = 16
	// backlog is the size of the kernel's queue of new connections. Further ones are dropped.
	backlog = 256
	// usualTries is the number of attempts that a caller makes, insistentFraction the part of them that come back to the same router at once
	// and make insistentTries.
	usualTries, insistentTries = 5, 10
	insistentFraction          = 0.1
	// smallShare is the part of a core that a small router gets, largeShare that of a large one, smallMaxOpen the descriptors of a small one.
	smallShare, largeShare = 0.192, 0.8
	smallMaxOpen           = 4100
	// acceptors is the number of goroutines that accept connections.
	acceptors = 4
	// turn is the time for which a goroutine may keep the processor while others wait.
	turn = 10 * time.Millisecond
	// handoverTimeout is the time within which a connection to a peer must be seen to be open.
	handoverTimeout = 2 * time.Second
	// descriptorPause is the pause after a connection could not be accepted for want of a descriptor.
	descriptorPause = 10 * time.Millisecond
	// checkPeriod is the time between readiness checks of the balancer, missesUntilOut the number of those in a row that must fail before a
	// router gets no new connections.
	checkPeriod    = time.Second
	missesUntilOut = 2
	// lateTick is the time between measurements of a router's lateness.
	lateTick = 25 * time.Millisecond
	// eventPeriod is the time between events of a stream, eventCost the processor time of a router's own code for each.
	eventPeriod = 45 * time.Millisecond
	eventCost   = 10 * time.Microsecond
	// parseCost is the processor time of a router's own code for reading the head of a request that may be refused unread.
	parseCost = 5 * time.Microsecond
	// eventCalls are the system calls for passing an event on.
	eventCalls = 3
	// objective is the time within which a target must begin a request.
	objective = 300 * time.Millisecond
	// linkTimeout is the time without a message after which a link ends.
	linkTimeout = 2 * time.Second
)

// taskCost is the processor time that a task takes: that of its own code, and that of the kernel.
type taskCost struct {
	code, kernel time.Duration
}

// kernelCost returns the cost of a task that wakes the process and makes system calls, beside that of its code.
func kernelCost(code time.Duration, calls int) taskCost {
	return taskCost{code: code, kernel: wakeCost + time.Duration(calls)*syscallCost}
}

// event is something that happens at a time in a zoneModel.
type event struct {
	at     time.Time
	number int
	do     func()
}

// events is a heap of events in the order of their times.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(e any)   { *h = append(*h, e.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// delayRule is a rule like that of overload.RetryDelay.
type delayRule func(lateness, spare, timeLeft time.Duration, random float64) time.Duration

// zoneModel is an availability zone in virtual time: routers with a part of a core each, the balancer before them, and callers who
// try again, most of them at other routers.
type zoneModel struct {
	now       time.Time
	random    *rand.Rand
	pending   events
	numEvents int
	routers   []*zoneRouter
	// asked holds the number of requests that each customer sent in each second, served that of those among them that a target began, begun that
	// of those that it began in time.
	asked, served, begun map[string][]int
	length               time.Duration
	// retryDelay is what callers that are refused unread are told.
	retryDelay delayRule
	// maxTries is the number of attempts that callers make who are not insistent.
	maxTries int
	// callersReturn is set if all callers come back to the router that has refused them, and not only the insistent ones.
	callersReturn bool
}

// zoneRequest is a request of a caller.
type zoneRequest struct {
	customer string
	sentAt   time.Time
	deadline time.Time
	// triesLeft is the number of further attempts that its caller makes. isInsistent is set if they come at once and to the same router.
	triesLeft   int
	isInsistent bool
	// events is the number of events of its answer.
	events int
	// ended is set when the request was begun, or when its caller has given up.
	ended bool
}

// zoneConn is an attempt of a request on a connection of its own.
type zoneConn struct {
	request *zoneRequest
	first   *zoneRouter
	// from is the router that has handed the connection over, nil if there is none.
	from *zoneRouter
	// isRead is set when a router has read the request. abandoned is set when its caller has left.
	isRead, abandoned bool
}

// maxOpenOf returns the number of descriptors of a router with a part of a core.
func maxOpenOf(share float64) int {
	if share == largeShare {
		return 2 * smallMaxOpen
	}
	return smallMaxOpen
}

// newZoneModel returns a zone of routers with the given parts of a core.
func newZoneModel(seed uint64, length time.Duration, shares []float64) *zoneModel {
	zone := &zoneModel{
		now: startTime, random: rand.New(rand.NewPCG(seed, 9)), length: length, retryDelay: overload.RetryDelay,
		maxTries: usualTries,
		asked:    make(map[string][]int), begun: make(map[string][]int), served: make(map[string][]int),
	}
	for i, share := range shares {
		zone.routers = append(zone.routers, &zoneRouter{
			zone: zone, index: i, share: share, maxOpen: maxOpenOf(share), handover: overload.NewHandover(seed + uint64(i)),
			shedder: overload.New(), rotation: overload.NewRotation(), admission: overload.NewAdmission(share),
			idleSince: startTime, passed: make([]int, int(length/time.Second)+1),
		})
	}
	for _, r := range zone.routers {
		r.reportLoad()
		r.measureLateness()
		zone.check(r)
	}
	return zone
}

// after calls do after a time.
func (z *zoneModel) after(delay time.Duration, do func()) {
	z.numEvents++
	heap.Push(&z.pending, event{at: z.now.Add(delay), number: z.numEvents, do: do})
}

// play runs the model to its end.
func (z *zoneModel) play() {
	for len(z.pending) > 0 {
		next, _ := heap.Pop(&z.pending).(event)
		if next.at.Sub(startTime) >= z.length {
			return
		}
		z.now = next.at
		next.do()
	}
}

// addCallers adds callers of a customer that send requests at a rate per second, all of which the balancer's hash sends to one router.
func (z *zoneModel) addCallers(customer string, rate float64) {
	z.asked[customer] = make([]int, int(z.length/time.Second)+1)
	z.served[customer] = make([]int, int(z.length/time.Second)+1)
	z.begun[customer] = make([]int, int(z.length/time.Second)+1)
	var send func()
	send = func() {
		z.asked[customer][z.second()]++
		z.connect(z.newRequest(customer), z.balance(customer))
		z.after(time.Duration(z.random.ExpFloat64()/rate*float64(time.Second)), send)
	}
	z.after(time.Duration(z.random.Float64()*float64(time.Second)), send)
}

// newRequest returns a request of a customer that is sent now.
func (z *zoneModel) newRequest(customer string) *zoneRequest {
	request := &zoneRequest{customer: customer, sentAt: z.now, deadline: z.now.Add(patience), events: z.drawEvents(), triesLeft: z.maxTries - 1}
	if z.random.Float64() < insistentFraction {
		request.isInsistent = true
		request.triesLeft = insistentTries - 1
	}
	return request
}

// drawEvents returns the number of events of an answer: some are long streams.
func (z *zoneModel) drawEvents() int {
	switch draw := z.random.Float64(); {
	case draw < 0.3:
		return 42
	case draw < 0.45:
		return 32
	default:
		return 3
	}
}

// second returns the number of the current second.
func (z *zoneModel) second() int { return int(z.now.Sub(startTime) / time.Second) }

// balance returns the router that the balancer selects for a caller: by a hash, among those that are in the rotation.
func (z *zoneModel) balance(caller string) *zoneRouter {
	var best *zoneRouter
	var highest uint64
	for _, r := range z.routers {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(caller + "/" + strconv.Itoa(r.index)))
		if weight := hash.Sum64(); !r.out && (best == nil || weight > highest) {
			best, highest = r, weight
		}
	}
	return best
}

// callerOf returns the name of a caller whom the balancer sends to a router.
func (z *zoneModel) callerOf(r *zoneRouter, prefix string) string {
	for i := 0; ; i++ {
		if name := prefix + strconv.Itoa(i); z.balance(name) == r {
			return name
		}
	}
}

// connect opens a connection for a request to a router. Its caller leaves if the request is not read in time.
func (z *zoneModel) connect(request *zoneRequest, r *zoneRouter) {
	conn := &zoneConn{request: request, first: r}
	z.after(networkDelay, func() { r.arrive(conn) })
	readWithin := min(time.Second, request.deadline.Sub(z.now)/3)
	z.after(readWithin, func() {
		if !conn.isRead {
			conn.abandoned = true
			z.retry(conn, time.Duration(z.random.Float64()*float64(retryDelay)))
		}
	})
}

// retry sends a request once more, after a delay and to another router unless its caller is insistent.
func (z *zoneModel) retry(conn *zoneConn, delay time.Duration) {
	request := conn.request
	if request.ended || request.triesLeft == 0 || z.now.Add(delay).After(request.deadline) {
		request.ended = true
		return
	}
	request.triesLeft--
	if request.isInsistent {
		z.connect(request, conn.first)
		return
	}
	next := conn.first
	if !z.callersReturn {
		next = z.otherRouter(conn.first)
	}
	z.after(delay, func() { z.connect(request, next) })
}

// otherRouter returns a random router, but not the given one unless that is alone.
func (z *zoneModel) otherRouter(than *zoneRouter) *zoneRouter {
	if len(z.routers) == 1 {
		return than
	}
	other := z.random.IntN(len(z.routers) - 1)
	if other >= than.index {
		other++
	}
	return z.routers[other]
}

// check sends the balancer's readiness checks to a router.
func (z *zoneModel) check(r *zoneRouter) {
	answered := false
	r.queue(func() taskCost {
		answered = !r.rotation.IsAbsent(z.now)
		return kernelCost(refuseCost, acceptCalls)
	})
	z.after(checkPeriod, func() {
		r.misses++
		if answered {
			r.misses = 0
		}
		r.out = r.misses >= missesUntilOut
		z.check(r)
	})
}
