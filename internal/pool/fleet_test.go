package pool_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/pool"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

const (
	tickInterval = 10 * time.Millisecond
	timePerToken = 20 * time.Millisecond
	model        = "drafts"
	slots        = 8
)

// start is the time at which all simulated fleets start.
var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// host is one simulated router.
type host struct {
	membership.Router
	incarnation uint64
	queue       *requestqueue.Queue
	scheduler   *pool.Scheduler
	// requests holds the open requests by their number in queue.
	requests map[uint64]*request
	// reachable holds the routers that this host sees as up.
	reachable map[string]bool
}

// request is one request of a simulated caller.
type request struct {
	customer uint32
	tokens   int
	// target is empty until the request is granted a slot.
	target      string
	startedAt   time.Time
	submittedAt time.Time
	// done is called with the waiting time once the request has run.
	done func(waited time.Duration)
}

// engine is one simulated target. It runs all its requests at once and records the largest number of them.
type engine struct {
	membership.Target
	running int
	peak    int
	// leftAt is the time at which the target was marked as leaving or removed from the host list, zero if it was not.
	leftAt  time.Time
	removed bool
}

// packet is a message in transit in one session.
type packet struct {
	// at is the time of arrival.
	at       time.Time
	from, to string
	session  int
	body     *fleetpb.Body
}

// fleet simulates routers, links and engines in steps of virtual time.
type fleet struct {
	now       time.Time
	hosts     map[string]*host
	names     []string
	engines   []*engine
	customers map[uint32]requestqueue.Customer
	weights   map[uint32]uint32
	// sessions holds the number of the open session of each link.
	sessions map[[2]string]int
	// disconnectedAt holds the time at which each link lost its session. A peer without a session for two seconds is down.
	disconnectedAt map[[2]string]time.Time
	inTransit      []packet
	lastSession    int
	// servedTokens is the number of tokens generated for each customer.
	servedTokens    map[uint32]int
	grantedRequests int
	// sentBytes is the size of all messages sent between different hosts.
	sentBytes int
	// violations describes each event that must not happen.
	violations []string
}

// newFleet returns a fleet with one availability zone for each element of zones, which is the name of the region. Each zone has
// the given numbers of routers and targets.
func newFleet(zones []string, routers, targets int) *fleet {
	f := &fleet{
		now: start, hosts: make(map[string]*host), customers: make(map[uint32]requestqueue.Customer),
		weights: make(map[uint32]uint32), sessions: make(map[[2]string]int), disconnectedAt: make(map[[2]string]time.Time),
		servedTokens: make(map[uint32]int),
	}
	for z, region := range zones {
		zone := fmt.Sprintf("z%d", z)
		for r := range routers {
			name := fmt.Sprintf("r%d-%d", z, r)
			f.names = append(f.names, name)
			f.hosts[name] = &host{Router: membership.Router{Name: name, Region: region, Zone: zone, State: membership.Up}}
		}
		for t := range targets {
			f.engines = append(f.engines, &engine{Target: membership.Target{
				Name: fmt.Sprintf("t%d-%d", z, t), Region: region, Zone: zone, Model: model, Slots: slots,
			}})
		}
	}
	for _, name := range f.names {
		f.restart(name)
	}
	return f
}

// addCustomer configures a customer with the classes quick and long.
func (f *fleet) addCustomer(number, weight uint32) {
	f.weights[number] = weight
	f.customers[number] = requestqueue.Customer{Classes: map[string]requestqueue.Class{
		"quick": {Patience: 200 * time.Millisecond},
		"long":  {Patience: 5 * time.Second, Long: true},
	}}
}

// restart starts a host anew, without state, and opens its sessions. Its running requests are dropped.
func (f *fleet) restart(name string) {
	h := f.hosts[name]
	h.incarnation++
	h.queue = requestqueue.NewQueue(name, h.incarnation)
	h.scheduler = pool.New(name, h.incarnation)
	for id, r := range h.requests {
		f.engineByName(r.target).finishRequest()
		delete(h.requests, id)
	}
	h.requests, h.reachable = make(map[uint64]*request), map[string]bool{name: true}
	h.queue.SetCustomers(f.now, f.customers)
	h.scheduler.SetWeights(f.now, f.weights)
	for _, other := range f.names {
		f.disconnect(name, other)
		f.connect(name, other)
	}
}

// linkKey returns the key of the link between two hosts, the same for both directions.
func linkKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// connect opens a session between two hosts if there is none.
func (f *fleet) connect(a, b string) {
	key := linkKey(a, b)
	if a == b || f.sessions[key] != 0 || f.hosts[a].queue == nil || f.hosts[b].queue == nil {
		return
	}
	f.lastSession++
	f.sessions[key] = f.lastSession
	delete(f.disconnectedAt, key)
	for _, ends := range [][2]*host{{f.hosts[a], f.hosts[b]}, {f.hosts[b], f.hosts[a]}} {
		ends[0].reachable[ends[1].Name] = true
		ends[0].queue.Connected(f.now, ends[1].Name, ends[1].incarnation)
		ends[0].scheduler.Connected(f.now, ends[1].Name, ends[1].incarnation)
		f.updateView(ends[0])
	}
}

// disconnect ends the session between two hosts. Messages in transit are lost.
func (f *fleet) disconnect(a, b string) {
	if f.sessions[linkKey(a, b)] == 0 {
		return
	}
	delete(f.sessions, linkKey(a, b))
	f.disconnectedAt[linkKey(a, b)] = f.now
	for _, ends := range [][2]*host{{f.hosts[a], f.hosts[b]}, {f.hosts[b], f.hosts[a]}} {
		ends[0].queue.Disconnected(f.now, ends[1].Name)
		ends[0].scheduler.Disconnected(f.now, ends[1].Name)
	}
}

// detectDownPeers updates the views of hosts whose peers have had no session for two seconds.
func (f *fleet) detectDownPeers() {
	for key, since := range f.disconnectedAt {
		for i, name := range key {
			if h := f.hosts[name]; f.now.Sub(since) >= 2*time.Second && h.reachable[key[1-i]] {
				h.reachable[key[1-i]] = false
				f.updateView(h)
			}
		}
	}
}

// partition disconnects the hosts before index first from the others and connects all other pairs. With first zero it connects
// all hosts.
func (f *fleet) partition(first int) {
	for i, a := range f.names {
		for j, b := range f.names[:i] {
			if i >= first && j < first {
				f.disconnect(a, b)
			} else {
				f.connect(a, b)
			}
		}
	}
}

// updateView passes a host its current view of the fleet.
func (f *fleet) updateView(h *host) {
	routers := make([]membership.Router, 0, len(f.names))
	for _, name := range f.names {
		router := f.hosts[name].Router
		if !h.reachable[name] {
			router.State = membership.Down
		}
		routers = append(routers, router)
	}
	targets := make([]membership.Target, 0, len(f.engines))
	for _, e := range f.engines {
		if !e.removed {
			targets = append(targets, e.Target)
		}
	}
	view := membership.NewView(h.Name, routers, targets)
	h.queue.UpdateView(f.now, view)
	h.scheduler.UpdateView(f.now, view)
}

// setEngineState marks an engine as leaving, removes it from the host list, or brings it back if both flags are false.
func (f *fleet) setEngineState(e *engine, leaving, removed bool) {
	e.Leaving, e.removed, e.leftAt = leaving, removed, time.Time{}
	if leaving || removed {
		e.leftAt = f.now
	}
	for _, name := range f.names {
		f.updateView(f.hosts[name])
	}
}

// engineByName returns an engine by name, or an empty one that is not part of the fleet if no engine has the name.
func (f *fleet) engineByName(name string) *engine {
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.Name == name })
	if i < 0 {
		return &engine{}
	}
	return f.engines[i]
}

// finishRequest counts the end of one request.
func (e *engine) finishRequest() { e.running-- }

// latency returns the one-way latency between two hosts.
func (f *fleet) latency(a, b string) time.Duration {
	if f.hosts[a].Region != f.hosts[b].Region {
		return 12 * time.Millisecond
	}
	return time.Millisecond
}

// submit submits a request at a host. done is called with its waiting time once it has run.
func (f *fleet) submit(at string, customer uint32, class string, tokens int, done func(time.Duration)) {
	h := f.hosts[at]
	id, refused := h.queue.Submit(f.now, requestqueue.Request{Customer: customer, Model: model, Class: class, MaxTokens: 4096})
	if refused != nil {
		f.violations = append(f.violations, refused.Error())
		return
	}
	h.requests[id] = &request{customer: customer, tokens: tokens, submittedAt: f.now, done: done}
}

// keepRequestsOpen keeps a number of requests of class long open for a customer at a host until the given time.
func (f *fleet) keepRequestsOpen(at string, customer uint32, tokens, open int, until time.Time) {
	var again func(time.Duration)
	again = func(time.Duration) {
		if f.now.Before(until) {
			f.submit(at, customer, "long", tokens, again)
		}
	}
	for range open {
		again(0)
	}
}

// run advances the fleet by the given time and calls watch, if not nil, after each tick.
func (f *fleet) run(length time.Duration, watch func()) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		f.detectDownPeers()
		f.deliver()
		for _, name := range f.names {
			h := f.hosts[name]
			f.generateTokens(h)
			envelopes, decisions := h.queue.Tick(f.now)
			f.send(h, envelopes)
			for _, decision := range decisions {
				f.startRequest(h, decision)
			}
			f.send(h, h.scheduler.Tick(f.now))
		}
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.sendLoadReports()
		}
		if watch != nil {
			watch()
		}
	}
}

// send puts messages in transit. Messages to hosts without a session are dropped.
func (f *fleet) send(from *host, envelopes []message.Envelope) {
	for _, envelope := range envelopes {
		session := f.sessions[linkKey(from.Name, envelope.To)]
		if envelope.To != from.Name {
			if session == 0 {
				continue
			}
			f.sentBytes += proto.Size(envelope.Body) + 3
		}
		at := f.now.Add(f.latency(from.Name, envelope.To))
		f.inTransit = append(f.inTransit, packet{at: at, from: from.Name, to: envelope.To, session: session, body: envelope.Body})
	}
}

// deliver delivers the messages that are due. Messages of sessions that have ended are dropped.
func (f *fleet) deliver() {
	pending := f.inTransit[:0]
	for _, p := range f.inTransit {
		switch {
		case p.session != f.sessions[linkKey(p.from, p.to)]:
		case p.at.After(f.now):
			pending = append(pending, p)
		default:
			f.hosts[p.to].queue.Receive(f.now, p.from, p.body)
			f.hosts[p.to].scheduler.Receive(f.now, p.from, p.body)
		}
	}
	f.inTransit = pending
}

// startRequest starts a granted request on its target. It records a violation if the request was refused, is unknown or was
// granted before, or if the target left more than two seconds ago.
func (f *fleet) startRequest(h *host, decision requestqueue.Decision) {
	r := h.requests[decision.RequestID]
	if decision.Refusal != nil || r == nil || r.target != "" {
		f.violations = append(f.violations, fmt.Sprintf("%s: request %d: %+v", h.Name, decision.RequestID, decision))
		return
	}
	f.grantedRequests++
	r.target, r.startedAt = decision.Target, f.now
	e := f.engineByName(r.target)
	if !e.leftAt.IsZero() && f.now.Sub(e.leftAt) > 2*time.Second {
		f.violations = append(f.violations, fmt.Sprintf("%s got a request more than two seconds after it left", e.Name))
	}
	e.running++
	e.peak = max(e.peak, e.running)
}

// generateTokens generates one tick's tokens for the running requests of a host and ends those that are complete.
func (f *fleet) generateTokens(h *host) {
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		r := h.requests[id]
		if r.target == "" {
			continue
		}
		before, after := f.now.Add(-tickInterval).Sub(r.startedAt)/timePerToken, f.now.Sub(r.startedAt)/timePerToken
		f.servedTokens[r.customer] += int(after - before)
		h.queue.RecordProgress(f.now, id, requestqueue.TokenCost(0, int(after)))
		if int(after) >= r.tokens {
			f.engineByName(r.target).finishRequest()
			delete(h.requests, id)
			h.queue.Finish(f.now, id, requestqueue.TokenCost(0, r.tokens), fleetpb.Outcome_OUTCOME_DONE)
			r.done(r.startedAt.Sub(r.submittedAt))
		}
	}
}

// sendLoadReports sends the load of all engines to all hosts. It is called every 250 ms, so the reports lag behind the load.
func (f *fleet) sendLoadReports() {
	for _, e := range f.engines {
		load := external.LoadReport{MeasuredAt: f.now, Running: e.running, Slots: e.Slots}
		for _, name := range f.names {
			f.hosts[name].scheduler.ObserveLoad(f.now, e.Name, load)
		}
	}
}
