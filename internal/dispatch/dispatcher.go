package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// outputCost is the cost of a generated token in read ones.
	outputCost = 2
	// plainCost is the cost of a request without tokens.
	plainCost = 1
	// behindSlack is how much later than expected the first byte may come before the target counts as behind.
	behindSlack = 50 * time.Millisecond
)

// Dispatcher decides on the requests of one router. Decisions are collected and returned by Take.
type Dispatcher struct {
	place     Locality
	random    *rand.Rand
	services  map[string]*service
	targets   map[string]*targetState
	runs      map[uint64]*run
	waiting   map[uint64]*waiting
	accounts  *accounts
	peers     map[string]*peer
	shorts    map[uint32]*targetState
	announced map[announcement]time.Time
	decisions []Decision
	last      uint64
}

// New returns a dispatcher without targets; the seed spreads the times at which refused requests come back.
func New(place Locality, seed uint64) *Dispatcher {
	return &Dispatcher{
		place:    place,
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string]*service),
		targets:  make(map[string]*targetState),
		runs:     make(map[uint64]*run),
		waiting:  make(map[uint64]*waiting),
		accounts: newAccounts(),
		peers:    make(map[string]*peer),
		shorts:   make(map[uint32]*targetState),

		announced: make(map[announcement]time.Time),
	}
}

// TakeDecisions returns the decisions since the last call.
func (d *Dispatcher) TakeDecisions() []Decision {
	taken := d.decisions
	d.decisions = nil
	return taken
}

// SetTargets takes over the targets. Runs at targets that are gone stay until they end.
func (d *Dispatcher) SetTargets(now time.Time, targets []Target) {
	for _, s := range d.services {
		s.targets = s.targets[:0]
	}
	present := make(map[string]*targetState, len(targets))
	clear(d.shorts)
	for _, target := range targets {
		state, known := d.targets[target.Name]
		if !known || state.StartUnixMilli != target.StartUnixMilli || state.Address != target.Address {
			state = newTargetState(target)
			d.sum(state)
			d.mark(state)
		}
		state.Target, state.memory = target, d.service(target.Service).memory
		present[target.Name] = state
		d.shorts[state.short] = state
		s := d.service(target.Service)
		s.targets = append(s.targets, state)
	}
	for name, state := range d.targets {
		state.gone = present[name] != state
	}
	d.targets = present
	for _, s := range d.services {
		slices.SortFunc(s.targets, func(a, b *targetState) int { return cmp.Compare(a.Name, b.Name) })
		if s.large() {
			s.wide.locate(d.place, s.targets)
		}
		d.pump(now, s)
	}
}

// SetKVCapacity sets the number of tokens that each target of a service holds.
func (d *Dispatcher) SetKVCapacity(service string, memory int) {
	s := d.service(service)
	s.memory = memory
	for _, state := range s.targets {
		state.memory = memory
	}
}

// Submit enters a request and returns its number.
func (d *Dispatcher) Submit(now time.Time, request Request) uint64 {
	d.last++
	d.enter(now, &waiting{id: d.last, request: request, since: now})
	return d.last
}

// Retry enters a request again that was at a target and shall go to another one. It keeps its number.
func (d *Dispatcher) Retry(now time.Time, id uint64, request Request) {
	d.enter(now, &waiting{id: id, request: request, since: now, repeated: true})
}

// enter places a request, or lets it wait, or refuses it.
func (d *Dispatcher) enter(now time.Time, w *waiting) {
	s := d.service(w.request.Service)
	if !s.serves(&w.request) {
		refused := refusal.Newf(refusal.NoTarget, "no target serves %q", s.name).WithRetry(now.Add(absentPause))
		d.refuse(now, w, refused)
		return
	}
	w.until = s.until(now, w)
	if !w.repeated {
		d.charge(now, s, w.request.Customer, 0, costOf(&w.request))
		if d.overdrawn(now, s, &w.request) {
			d.refuse(now, w, d.overloaded(now, &w.request, "the customer has its share"))
			return
		}
	}
	if s.line.length == 0 && !d.yields(now, s, w.request.Customer) && d.assign(now, s, w) {
		return
	}
	s.line.add(w)
	d.waiting[w.id] = w
	d.pump(now, s)
	d.shorten(now, s)
}

// WaitDeadline returns the instant at which a waiting request is to be expired, zero if it does not wait.
func (d *Dispatcher) WaitDeadline(id uint64) time.Time {
	if w, found := d.waiting[id]; found {
		return w.until
	}
	return time.Time{}
}

// Expire refuses a request that still waits: its objective cannot be met any more.
func (d *Dispatcher) Expire(now time.Time, id uint64) {
	w, found := d.waiting[id]
	if !found {
		return
	}
	d.drop(d.service(w.request.Service), w)
	d.refuse(now, w, d.overloaded(now, &w.request, "the request waited too long"))
}

// Cancel forgets a request that its caller gave up while it waited.
func (d *Dispatcher) Cancel(id uint64) {
	if w, found := d.waiting[id]; found {
		d.drop(d.service(w.request.Service), w)
	}
}

// RecordFirstByte notes the first byte of an answer, and the load that the target told with it.
func (d *Dispatcher) RecordFirstByte(now time.Time, id uint64, load *Load) {
	r, found := d.runs[id]
	if !found {
		return
	}
	s := d.service(r.request.Service)
	if !r.answered {
		predicted := s.fit.First(float64(r.tokens))
		r.state.answer(now, r, predicted)
		s.fit = s.fit.With(r.tokens, now.Sub(r.placed))
		if len(d.peers) == 0 {
			s.speed = s.fit.Speed()
		}
		r.answered = true
	}
	if load != nil {
		r.state.observe(now, *load)
	}
	d.pump(now, s)
}

// RecordData notes that a target sent something.
func (d *Dispatcher) RecordData(now time.Time, id uint64) {
	if r, found := d.runs[id]; found {
		r.state.heard = now
	}
}

// Finish notes the end of a request at its target.
func (d *Dispatcher) Finish(now time.Time, id uint64, outcome Outcome) {
	r, found := d.runs[id]
	if !found {
		return
	}
	delete(d.runs, id)
	s := d.service(r.request.Service)
	if !r.answered && outcome != Cancelled {
		d.charge(now, s, r.request.Customer, -r.cost, 0)
		r.state.forget(&r.request)
	}
	r.state.end(r)
	d.mark(r.state)
	switch outcome {
	case Done:
		r.state.note(now, 0)
	case Failed, Broken, Stalled:
		r.state.note(now, 1)
	case Rejected:
		r.state.note(now, 1)
		r.state.blocked = now.Add(rejectedPause)
	case Misdirected:
		r.state.blocked = now.Add(misdirectedPause)
	case Unreachable:
		r.state.note(now, 1)
		r.state.block(now)
	case Cancelled:
	}
	d.pump(now, s)
}

// TargetNames returns the names of the targets.
func (d *Dispatcher) TargetNames() []string { return slices.Collect(maps.Keys(d.targets)) }

// NumWaiting returns the number of requests without a target.
func (d *Dispatcher) NumWaiting() int { return len(d.waiting) }

// NumRunning returns the number of requests at targets.
func (d *Dispatcher) NumRunning() int { return len(d.runs) }

// pump places waiting requests while there is room.
func (d *Dispatcher) pump(now time.Time, s *service) {
	for s.line.length > 0 {
		placed := false
		for _, standing := range d.order(now, s) {
			if d.yields(now, s, standing.customer) {
				return
			}
			if w := s.line.next(now, standing.customer); d.assign(now, s, w) {
				placed = true
				break
			}
		}
		if !placed {
			return
		}
	}
}

// assign gives a request a target if one has room. If others wait for that room, a request whose answer would be late is
// refused instead, unless its caller has got a part of the answer or a target has worked on it already. It reports whether the request was decided on.
func (d *Dispatcher) assign(now time.Time, s *service, w *waiting) bool {
	chosen, found := s.choose(now, d.place, &w.request)
	if !found {
		return false
	}
	d.drop(s, w)
	first := s.first(now, &chosen)
	if !w.repeated && now.Add(first).After(w.request.Objective) && s.contended(now) {
		d.refuse(now, w, d.overloaded(now, &w.request, "no target can answer in time"))
		return true
	}
	s.yielded = time.Time{}
	state := chosen.state
	d.announce(now, state, &w.request)
	started := &run{
		id: w.id, request: w.request, state: state, placed: now,
		tokens: int(state.queued(now, s.speed)) + chosen.missing, missing: chosen.missing,
		cost: costOf(&w.request),
	}
	started.expected = now.Add(first + behindSlack)
	started.due = now.Add(dueSlack + dueFactor*first)
	state.begin(now, started)
	state.read(now, s.speed, chosen.missing)
	started.mark = state.given
	for _, linked := range d.peers {
		linked.added[state.short] += uint32(chosen.missing)
	}
	d.mark(state)
	for _, part := range w.request.Parts {
		s.remember(part.ID, state)
	}
	d.charge(now, s, w.request.Customer, started.cost, 0)
	s.started = s.started.with(now)
	d.runs[w.id] = started
	d.decisions = append(d.decisions, Decision{
		ID: w.id, Target: state.Target, CacheSource: chosen.source, Waited: now.Sub(w.since), PrefillTokens: chosen.missing,
		ExpectedFirstByte: now.Add(first), Cost: chosen.cost, Choices: chosen.choices,
	})
	return true
}

// costOf returns the service that a request is expected to take.
func costOf(request *Request) float64 {
	if request.PromptTokens == 0 && request.MaxOutputTokens == 0 {
		return plainCost
	}
	return float64(request.PromptTokens + outputCost*request.MaxOutputTokens)
}

// drop takes a request out of the waiting ones.
func (d *Dispatcher) drop(s *service, w *waiting) {
	if _, found := d.waiting[w.id]; found {
		delete(d.waiting, w.id)
		s.line.remove(w)
	}
}

// service returns the service of a name and creates it if there is none.
func (d *Dispatcher) service(name string) *service {
	found, ok := d.services[name]
	if !ok {
		found = newService(name, d.random)
		d.services[name] = found
	}
	return found
}
