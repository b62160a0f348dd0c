package pool_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/pool"
)

const (
	step      = 10 * time.Millisecond
	tokenTime = 20 * time.Millisecond
	model     = "drafts"
	slots     = 8
)

// start is the first instant of all simulated fleets.
var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// host is one simulated router.
type host struct {
	membership.Router
	incarnation uint64
	queue       *entry.Queue
	scheduler   *pool.Scheduler
	calls       map[uint64]*job
	// heard is the set of peers in this host's view.
	heard map[string]bool
}

// job is one request of a simulated caller.
type job struct {
	customer uint32
	tokens   int
	target   string
	began    time.Time
	sent     time.Time
	done     func(waited time.Duration)
}

// engine is one simulated target; it runs everything at once and records how much that was.
type engine struct {
	membership.Target
	running int
	peak    int
	// left is the instant at which the target was marked as leaving or taken from the list.
	left    time.Time
	removed bool
}

// packet is a message on its way in one session.
type packet struct {
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
	customers map[uint32]entry.Customer
	weights   map[uint32]uint32
	sessions  map[[2]string]int
	// apart holds the instants at which sessions broke; a peer without a session is down after two seconds.
	apart map[[2]string]time.Time
	wire  []packet
	last  int
	// served is the service of each customer in tokens; runs counts granted requests, bytes what was sent between hosts.
	served map[uint32]int
	runs   int
	bytes  int
	faults []string
}

// newFleet returns a fleet with one availability zone for each entry of zones, which holds the region's name.
func newFleet(zones []string, routers, targets int) *fleet {
	f := &fleet{
		now: start, hosts: make(map[string]*host), customers: make(map[uint32]entry.Customer),
		weights: make(map[uint32]uint32), sessions: make(map[[2]string]int), apart: make(map[[2]string]time.Time),
		served: make(map[uint32]int),
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
		f.boot(name)
	}
	return f
}

// customer configures a customer with a quick and a long class.
func (f *fleet) customer(number, weight uint32) {
	f.weights[number] = weight
	f.customers[number] = entry.Customer{Classes: map[string]entry.Class{
		"quick": {Patience: 200 * time.Millisecond},
		"long":  {Patience: 5 * time.Second, Long: true},
	}}
}

// boot starts a host without state and opens its sessions.
func (f *fleet) boot(name string) {
	h := f.hosts[name]
	h.incarnation++
	h.queue = entry.NewQueue(name, h.incarnation)
	h.scheduler = pool.New(name, h.incarnation)
	for id, j := range h.calls {
		f.engine(j.target).stop()
		delete(h.calls, id)
	}
	h.calls, h.heard = make(map[uint64]*job), map[string]bool{name: true}
	h.queue.SetCustomers(f.now, f.customers)
	h.scheduler.SetWeights(f.now, f.weights)
	for _, other := range f.names {
		f.disconnect(name, other)
		f.connect(name, other)
	}
}

// pair returns the key of the link between two hosts.
func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// connect opens a session.
func (f *fleet) connect(a, b string) {
	key := pair(a, b)
	if a == b || f.sessions[key] != 0 || f.hosts[a].queue == nil || f.hosts[b].queue == nil {
		return
	}
	f.last++
	f.sessions[key] = f.last
	delete(f.apart, key)
	for _, ends := range [][2]*host{{f.hosts[a], f.hosts[b]}, {f.hosts[b], f.hosts[a]}} {
		ends[0].heard[ends[1].Name] = true
		ends[0].queue.Connected(f.now, ends[1].Name, ends[1].incarnation)
		ends[0].scheduler.Connected(f.now, ends[1].Name, ends[1].incarnation)
		f.locate(ends[0])
	}
}

// disconnect ends a session; what is on its way is lost.
func (f *fleet) disconnect(a, b string) {
	if f.sessions[pair(a, b)] == 0 {
		return
	}
	delete(f.sessions, pair(a, b))
	f.apart[pair(a, b)] = f.now
	for _, ends := range [][2]*host{{f.hosts[a], f.hosts[b]}, {f.hosts[b], f.hosts[a]}} {
		ends[0].queue.Disconnected(f.now, ends[1].Name)
		ends[0].scheduler.Disconnected(f.now, ends[1].Name)
	}
}

// lose makes hosts see the peers without a session for two seconds as down.
func (f *fleet) lose() {
	for key, since := range f.apart {
		for i, name := range key {
			if h := f.hosts[name]; f.now.Sub(since) >= 2*time.Second && h.heard[key[1-i]] {
				h.heard[key[1-i]] = false
				f.locate(h)
			}
		}
	}
}

// split cuts the first hosts off from the others, or heals all cuts if there are none.
func (f *fleet) split(first int) {
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

// locate gives a host its view.
func (f *fleet) locate(h *host) {
	routers := make([]membership.Router, 0, len(f.names))
	for _, name := range f.names {
		router := f.hosts[name].Router
		if !h.heard[name] {
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

// leave marks an engine as leaving or takes it from the list, or brings it back.
func (f *fleet) leave(e *engine, leaving, removed bool) {
	e.Leaving, e.removed, e.left = leaving, removed, time.Time{}
	if leaving || removed {
		e.left = f.now
	}
	for _, name := range f.names {
		f.locate(f.hosts[name])
	}
}

// engine returns an engine by name.
func (f *fleet) engine(name string) *engine {
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.Name == name })
	if i < 0 {
		return &engine{}
	}
	return f.engines[i]
}

// stop ends one run.
func (e *engine) stop() { e.running-- }

// delay returns the one-way latency between two hosts.
func (f *fleet) delay(a, b string) time.Duration {
	if f.hosts[a].Region != f.hosts[b].Region {
		return 12 * time.Millisecond
	}
	return time.Millisecond
}

// submit adds a request; done is called with its waiting time once it has run.
func (f *fleet) submit(at string, customer uint32, class string, tokens int, done func(time.Duration)) {
	h := f.hosts[at]
	id, refused := h.queue.Submit(f.now, entry.Request{Customer: customer, Model: model, Class: class, MaxTokens: 4096})
	if refused != nil {
		f.faults = append(f.faults, refused.Error())
		return
	}
	h.calls[id] = &job{customer: customer, tokens: tokens, sent: f.now, done: done}
}

// flood keeps a number of long requests of a customer open at a host until the instant.
func (f *fleet) flood(at string, customer uint32, tokens, open int, until time.Time) {
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

// run steps the fleet for some time and calls watch after each step.
func (f *fleet) run(length time.Duration, watch func()) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.lose()
		f.deliver()
		for _, name := range f.names {
			h := f.hosts[name]
			f.work(h)
			envelopes, decisions := h.queue.Tick(f.now)
			f.send(h, envelopes)
			for _, decision := range decisions {
				f.decide(h, decision)
			}
			f.send(h, h.scheduler.Tick(f.now))
		}
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.observe()
		}
		if watch != nil {
			watch()
		}
	}
}

// send puts messages on the wire.
func (f *fleet) send(from *host, envelopes []message.Envelope) {
	for _, envelope := range envelopes {
		session := f.sessions[pair(from.Name, envelope.To)]
		if envelope.To != from.Name {
			if session == 0 {
				continue
			}
			f.bytes += proto.Size(envelope.Body) + 3
		}
		at := f.now.Add(f.delay(from.Name, envelope.To))
		f.wire = append(f.wire, packet{at: at, from: from.Name, to: envelope.To, session: session, body: envelope.Body})
	}
}

// deliver hands over the messages that have arrived in sessions that still hold.
func (f *fleet) deliver() {
	rest := f.wire[:0]
	for _, p := range f.wire {
		switch {
		case p.session != f.sessions[pair(p.from, p.to)]:
		case p.at.After(f.now):
			rest = append(rest, p)
		default:
			f.hosts[p.to].queue.Receive(f.now, p.from, p.body)
			f.hosts[p.to].scheduler.Receive(f.now, p.from, p.body)
		}
	}
	f.wire = rest
}

// decide starts a granted request.
func (f *fleet) decide(h *host, decision entry.Decision) {
	j := h.calls[decision.RequestID]
	if decision.Refusal != nil || j == nil || j.target != "" {
		f.faults = append(f.faults, fmt.Sprintf("%s: request %d: %+v", h.Name, decision.RequestID, decision))
		return
	}
	f.runs++
	j.target, j.began = decision.Target, f.now
	e := f.engine(j.target)
	if !e.left.IsZero() && f.now.Sub(e.left) > 2*time.Second {
		f.faults = append(f.faults, fmt.Sprintf("%s got work after it left", e.Name))
	}
	e.running++
	e.peak = max(e.peak, e.running)
}

// work lets the requests of a host generate tokens.
func (f *fleet) work(h *host) {
	for _, id := range slices.Sorted(maps.Keys(h.calls)) {
		j := h.calls[id]
		if j.target == "" {
			continue
		}
		before, after := f.now.Add(-step).Sub(j.began)/tokenTime, f.now.Sub(j.began)/tokenTime
		f.served[j.customer] += int(after - before)
		h.queue.RecordProgress(f.now, id, entry.TokenCost(0, int(after)))
		if int(after) >= j.tokens {
			f.engine(j.target).stop()
			delete(h.calls, id)
			h.queue.Finish(f.now, id, entry.TokenCost(0, j.tokens), fleetpb.Outcome_OUTCOME_DONE)
			j.done(j.began.Sub(j.sent))
		}
	}
}

// observe sends load reports, which lag, to all hosts.
func (f *fleet) observe() {
	for _, e := range f.engines {
		load := outside.Load{At: f.now, Running: e.running, Slots: e.Slots}
		for _, name := range f.names {
			f.hosts[name].scheduler.ObserveLoad(f.now, e.Name, load)
		}
	}
}
