package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

const (
	// tickPeriod is the time between two ticks of a simulated router.
	tickPeriod = 25 * time.Millisecond
	// regionDelay and remoteDelay are the one-way network delays within a region and between regions.
	regionDelay = 500 * time.Microsecond
	remoteDelay = 12 * time.Millisecond
	// readTokensPerSecond and tokenTime are the read speed of a simulated target and its time for an output token.
	readTokensPerSecond = 157_000
	tokenTime           = 5 * time.Millisecond
	// slotTime is the time for which a request keeps a slot of a simulated target.
	slotTime = 530 * time.Millisecond
	// requestsPerClump is the number of requests that a caller sends at the same time.
	requestsPerClump = 3
	// maxFullMesh is the number of routers that are all linked with each other at most.
	maxFullMesh = 128
	// zonesPerRegion is the number of availability zones of a region.
	zonesPerRegion = 2
	// sessionsPerCustomer is the number of sessions that a customer's requests belong to.
	sessionsPerCustomer = 20
)

// load is the requests that one customer sends during a time.
type load struct {
	customer string
	// at is the prefix of the names of the routers that get the requests, empty for all routers.
	at string
	// perSecond is the number of new requests per second, from the time from until the time until after the start.
	perSecond   float64
	from, until time.Duration
}

// simEvent is something that happens at a time of the simulation.
type simEvent struct {
	at     time.Time
	number int
	action func()
}

// simEvents is a heap of events, ordered by time and number.
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].number, h[j].number)) < 0
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(e any)   { *h = append(*h, e.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simTarget runs requests: it reads prompts one after another and keeps a slot for each request until its last token.
type simTarget struct {
	dispatch.Target
	running int
	waiting []func()
	// readUntil is the time at which the last prompt will have been read.
	readUntil time.Time
	memory    *promptMemory
	// rateLimit is the number of requests per second that the target names in its answers, 0 for none.
	rateLimit float64
	// arrivals holds the times at which requests reached the target.
	arrivals []time.Time
}

// simRouter is a router with its callers' requests.
type simRouter struct {
	name string
	dispatch.Locality
	dispatcher *dispatch.Dispatcher
	requests   map[uint64]simRequest
	// links holds the names of the routers that this one is linked with.
	links map[string]bool
	// sentBytes are the sizes of the messages to routers of its region and of other regions.
	sentBytes, sentFarBytes int
}

// simRequest is a request of a caller at a router.
type simRequest struct {
	dispatch.Request
	isRetry bool
}

// customerSeconds holds the tokens of one customer in each second of a simulation: those asked for, and those of requests that a
// target began. refused tells in which seconds a request was refused.
type customerSeconds struct {
	asked, started []float64
	refused        []bool
}

// simFleet is a fleet of routers in front of targets that all share, in virtual time.
type simFleet struct {
	seed    uint64
	now     time.Time
	random  *rand.Rand
	events  simEvents
	numbers int
	routers []*simRouter
	byName  map[string]*simRouter
	targets map[string]*simTarget
	seconds int
	seen    map[string]*customerSeconds
	prompts promptFigures
	// decided is called for each decision on a request, unless it is nil.
	decided func(request simRequest, begins bool)
	// reportsLoad makes targets report their load in their answers.
	reportsLoad bool
	// maxFullMesh is the number of routers from which they are linked within groups.
	maxFullMesh int
	// down holds the names of the routers that have no links any more.
	down map[string]bool
}

// newSimFleet returns a fleet of three regions with two availability zones each, "r0a" to "r2b".
func newSimFleet(seed uint64, routersPerZone, targetsPerZone, slots int) *simFleet {
	return newLinkedSimFleet(seed, routersPerZone, targetsPerZone, slots, false)
}

// newLinkedSimFleet is like newSimFleet; regional links the routers within their regions, and the regions through relays.
func newLinkedSimFleet(seed uint64, routersPerZone, targetsPerZone, slots int, regional bool) *simFleet {
	f := &simFleet{
		seed: seed, now: startTime, random: rand.New(rand.NewPCG(seed, 17)), byName: make(map[string]*simRouter),
		targets: make(map[string]*simTarget), seen: make(map[string]*customerSeconds), down: make(map[string]bool),
	}
	listed := make([]dispatch.Target, 0, targetsPerZone*len(f.zones()))
	for _, zone := range f.zones() {
		for i := range targetsPerZone {
			target := dispatch.Target{
				Name: fmt.Sprint(zone.Zone, "-t", i), Address: fmt.Sprint(zone.Zone, "-t", i), Service: "m", Zone: zone.Zone,
				Region: zone.Region, Slots: slots,
			}
			listed = append(listed, target)
			f.targets[target.Name] = &simTarget{Target: target, memory: newPromptMemory(0)}
		}
	}
	for _, zone := range f.zones() {
		for i := range routersPerZone {
			router := &simRouter{name: fmt.Sprint(zone.Zone, "-", i), Locality: zone, requests: make(map[uint64]simRequest), links: make(map[string]bool)}
			router.dispatcher = dispatch.New(zone, seed*1000+uint64(len(f.routers)))
			router.dispatcher.SetTargets(f.now, listed)
			f.routers = append(f.routers, router)
			f.byName[router.name] = router
		}
	}
	f.maxFullMesh = len(f.routers)
	if regional {
		f.maxFullMesh = min(routersPerZone*zonesPerRegion, maxFullMesh)
	}
	f.linkRouters()
	for i, router := range f.routers {
		f.after(tickPeriod*time.Duration(i)/time.Duration(len(f.routers)), func() { f.tick(router) })
	}
	return f
}

// linkRouters links the routers that are not down as the process does.
func (f *simFleet) linkRouters() {
	routers := make([]membership.Router, 0, len(f.routers))
	for _, router := range f.routers {
		routers = append(routers, membership.Router{Name: router.name, Region: router.Region, Zone: router.Zone})
	}
	for i, router := range f.routers {
		groups := membership.NewLinkGroups(routers[i], routers, f.maxFullMesh)
		router.dispatcher.SetLinkGroups(f.now, func(at dispatch.Locality) string { return groups.Name(at.Region, at.Zone) })
		router.dispatcher.SetReportedCustomers(groups.Shards(f.isDown).Contains)
		for _, name := range groups.Links(f.isDown) {
			f.link(router, f.byName[name])
		}
	}
}

// link opens a link between two routers if there is none and both are up.
func (f *simFleet) link(a, b *simRouter) {
	if a.links[b.name] || f.isDown(a.name) || f.isDown(b.name) {
		return
	}
	a.links[b.name], b.links[a.name] = true, true
	a.dispatcher.AddPeer(f.now, dispatch.Peer{Name: b.name, Region: b.Region, Zone: b.Zone})
	b.dispatcher.AddPeer(f.now, dispatch.Peer{Name: a.name, Region: a.Region, Zone: a.Zone})
}

// isDown reports whether a router has no links any more.
func (f *simFleet) isDown(name string) bool { return f.down[name] }

// takeDown ends all links of a router, to which callers then send nothing.
func (f *simFleet) takeDown(router *simRouter) {
	f.down[router.name] = true
	for name := range router.links {
		router.dispatcher.RemovePeer(f.now, name)
		f.byName[name].dispatcher.RemovePeer(f.now, router.name)
		delete(f.byName[name].links, router.name)
	}
	clear(router.links)
}

// targetAt returns the target with an address, or nil if there is none.
func (f *simFleet) targetAt(address string) *simTarget { return f.targets[address] }

// capacity returns the number of requests that the targets together serve per second.
func (f *simFleet) capacity() float64 {
	capacity := 0.0
	for _, target := range f.targets {
		capacity += float64(target.Slots) / slotTime.Seconds()
	}
	return capacity
}

// zones returns the localities of the fleet.
func (f *simFleet) zones() []dispatch.Locality {
	return []dispatch.Locality{
		{Zone: "r0a", Region: "r0"},
		{Zone: "r0b", Region: "r0"},
		{Zone: "r1a", Region: "r1"},
		{Zone: "r1b", Region: "r1"},
		{Zone: "r2a", Region: "r2"},
		{Zone: "r2b", Region: "r2"},
	}
}

// after runs an action after a delay.
func (f *simFleet) after(delay time.Duration, action func()) {
	f.numbers++
	heap.Push(&f.events, simEvent{at: f.now.Add(delay), number: f.numbers, action: action})
}

// run plays the loads for a time.
func (f *simFleet) run(length time.Duration, loads []load) {
	f.seconds = int(length / time.Second)
	for _, l := range loads {
		f.after(l.from, func() { f.arrive(l) })
	}
	for len(f.events) > 0 && f.events[0].at.Before(startTime.Add(length)) {
		next, _ := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.action()
	}
}

// arrive submits a clump of requests of a load and schedules the next one.
func (f *simFleet) arrive(l load) {
	if f.now.Sub(startTime) >= l.until {
		return
	}
	at := f.routers[f.random.IntN(len(f.routers))]
	for !strings.HasPrefix(at.name, l.at) || f.isDown(at.name) {
		at = f.routers[f.random.IntN(len(f.routers))]
	}
	for range requestsPerClump {
		session := uint64(len(l.customer))<<32 + uint64(l.customer[0])<<16 + uint64(f.random.IntN(sessionsPerCustomer))
		f.submit(at, simRequest{Request: newRequest(f.now, l.customer, session)})
	}
	f.after(time.Duration(f.random.ExpFloat64()*requestsPerClump/l.perSecond*float64(time.Second)), func() { f.arrive(l) })
}

// submit passes a request to a router.
func (f *simFleet) submit(router *simRouter, request simRequest) {
	f.record(request.Customer).asked[f.second()] += tokensOf(request)
	id := router.dispatcher.Submit(f.now, request.Request)
	router.requests[id] = request
	f.takeDecisions(router)
	if expireAt := router.dispatcher.WaitDeadline(id); !expireAt.IsZero() {
		f.after(expireAt.Sub(f.now), func() {
			router.dispatcher.Expire(f.now, id)
			f.takeDecisions(router)
		})
	}
}

// takeDecisions carries out the decisions of a router.
func (f *simFleet) takeDecisions(router *simRouter) {
	for _, decision := range router.dispatcher.TakeDecisions() {
		// A decision may come before submit has recorded the request.
		f.after(0, func() { f.carryOut(router, decision) })
	}
}

// carryOut sends a request to the target of its decision, or has the caller send it once more.
func (f *simFleet) carryOut(router *simRouter, decision dispatch.Decision) {
	request := router.requests[decision.ID]
	if f.decided != nil {
		f.decided(request, decision.Refusal == nil)
	}
	if decision.Refusal != nil {
		delete(router.requests, decision.ID)
		f.record(request.Customer).refused[f.second()] = true
		if delay := decision.Refusal.RetryAt.Sub(f.now); !request.isRetry && f.now.Add(delay).Before(request.Deadline) {
			f.after(delay, func() {
				again := newRequest(f.now, request.Customer, request.Parts[len(request.Parts)-1].ID)
				f.submit(router, simRequest{Request: again, isRetry: true})
			})
		}
		return
	}
	target := f.targets[decision.Target.Name]
	f.after(networkDelay(router.Region, target.Region), func() {
		target.arrivals = append(target.arrivals, f.now)
		begin := func() { f.begin(router, target, decision, request) }
		if target.running >= target.Slots {
			target.waiting = append(target.waiting, begin)
			return
		}
		begin()
	})
}

// begin runs a request at a target.
func (f *simFleet) begin(router *simRouter, target *simTarget, decision dispatch.Decision, request simRequest) {
	id := decision.ID
	target.running++
	source := f.targetAt(decision.CacheSource)
	unread, fetched := target.memory.missing(request.Request, source)
	f.prompts.count(request.Request, unread, fetched)
	for _, part := range request.Parts {
		target.memory.use(f.now, part)
	}
	if target.readUntil.Before(f.now) {
		target.readUntil = f.now
	}
	if fetched > 0 {
		target.readUntil = target.readUntil.Add(fetchSetup + time.Duration(float64(fetched)/fetchTokensPerSecond*float64(time.Second)))
	}
	target.readUntil = target.readUntil.Add(time.Duration(float64(unread) / readTokensPerSecond * float64(time.Second)))
	firstByteIn := target.readUntil.Sub(f.now) + tokenTime
	back := networkDelay(router.Region, target.Region)
	f.after(firstByteIn, func() {
		f.record(request.Customer).started[f.second()] += tokensOf(request)
		if f.now.Add(back).Before(request.Objective) {
			f.prompts.inTime++
		}
		named := target.rateLimit
		var reported *dispatch.Load
		if f.reportsLoad {
			reported = &dispatch.Load{Running: target.running, Waiting: len(target.waiting), Slots: target.Slots}
		}
		f.after(back, func() {
			router.dispatcher.RecordRateLimit(f.now, target.Name, named)
			router.dispatcher.RecordFirstByte(f.now, id, reported)
			f.takeDecisions(router)
		})
	})
	lastByteIn := firstByteIn + time.Duration(request.MaxOutputTokens)*tokenTime
	for at := firstByteIn; at < lastByteIn; at += 100 * time.Millisecond {
		f.after(at+back, func() { router.dispatcher.RecordData(f.now, id) })
	}
	f.after(lastByteIn, func() {
		target.running--
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			next()
		}
		f.after(back, func() {
			router.dispatcher.Finish(f.now, id, dispatch.Done)
			delete(router.requests, id)
			f.takeDecisions(router)
		})
	})
}

// tick runs the periodic work of a router and delivers its messages.
func (f *simFleet) tick(router *simRouter) {
	for _, envelope := range router.dispatcher.Tick(f.now) {
		f.deliver(router, envelope)
	}
	f.takeDecisions(router)
	f.after(tickPeriod, func() { f.tick(router) })
}

// deliver passes a message on to its recipient.
func (f *simFleet) deliver(from *simRouter, envelope message.Envelope) {
	to := f.byName[envelope.To]
	size := proto.Size(envelope.Body)
	from.sentBytes += size
	if from.Region != to.Region {
		from.sentFarBytes += size
	}
	f.after(networkDelay(from.Region, to.Region), func() {
		to.dispatcher.Receive(f.now, from.name, envelope.Body)
		f.takeDecisions(to)
	})
}

// second returns the current second of the simulation.
func (f *simFleet) second() int { return int(f.now.Sub(startTime) / time.Second) }

// record returns the figures of a customer.
func (f *simFleet) record(customer string) *customerSeconds {
	if f.seen[customer] == nil {
		f.seen[customer] = &customerSeconds{
			asked: make([]float64, f.seconds+1), started: make([]float64, f.seconds+1), refused: make([]bool, f.seconds+1),
		}
	}
	return f.seen[customer]
}

// customers returns the names of the customers in order.
func (f *simFleet) customers() []string {
	return slices.Sorted(maps.Keys(f.seen))
}

// unfairWindow is a span of seconds in which a customer got too little.
type unfairWindow struct {
	customer  string
	from      int
	got, owed float64
}

// worstWindow returns the window of six seconds in which a customer that had a request refused in each second got the smallest
// part of what it is owed: in each second what it asked for or what the customer that got most got, whichever is less.
func (f *simFleet) worstWindow() unfairWindow {
	const windowSeconds, largestRequests = 6, 3 * 5200
	worst := unfairWindow{got: 1, owed: 1}
	for _, name := range f.customers() {
		c := f.seen[name]
		for from := 0; from+windowSeconds <= f.seconds; from++ {
			w := unfairWindow{customer: name, from: from, got: largestRequests}
			refusedThroughout := true
			for second := from; second < from+windowSeconds; second++ {
				best := 0.0
				for _, other := range f.seen {
					best = max(best, other.started[second])
				}
				w.got += c.started[second]
				w.owed += min(c.asked[second], best)
				refusedThroughout = refusedThroughout && c.refused[second]
			}
			if refusedThroughout && w.got*worst.owed < worst.got*w.owed {
				worst = w
			}
		}
	}
	return worst
}

// tokensOf returns the tokens of a request as shares count them.
func tokensOf(request simRequest) float64 {
	return float64(request.PromptTokens + 2*request.MaxOutputTokens)
}

// networkDelay returns the one-way delay between two regions.
func networkDelay(from, to string) time.Duration {
	if from == to {
		return regionDelay
	}
	return remoteDelay
}
