package measure

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Periods of the router process.
const (
	tickPeriod   = 10 * time.Millisecond
	idlePeriod   = 100 * time.Millisecond
	lookPeriod   = 250 * time.Millisecond
	readPeriod   = 5 * time.Millisecond
	idleRead     = time.Second
	failurePause = 500 * time.Millisecond
	storeLimit   = time.Second
)

// store is a booking that waits until its answer is stored.
type store struct {
	job   *job
	until time.Duration
}

// reader is the state of reading one log stream.
type reader struct {
	busy bool
	// seen is set once the end was read; last is the instant of the last page.
	seen bool
	last time.Duration
}

// router does for one node what the router process does.
type router struct {
	product *product
	world   *world
	index   int
	life    int
	node    *node.Node
	dirty   bool
	ticked  time.Duration
	looked  time.Duration
	read    time.Duration
	calls   map[uint64]*job
	claims  map[string]*job
	stores  []store
	readers map[string]*reader
}

// newRouter starts a router.
func newRouter(p *product, index int) *router {
	w := p.world
	zone := zoneName(w.deployment.zoneOf(index))
	self := membership.Router{Name: routerName(index), Region: zone, Zone: zone, State: membership.Up}
	r := &router{
		product: p, world: w, index: index, life: w.lives[index], ticked: w.now - time.Duration(index)*time.Millisecond,
		node:  node.New(self, uint64(w.lives[index]), node.WithSeed(uint64(index+1))),
		calls: make(map[uint64]*job), claims: make(map[string]*job), readers: make(map[string]*reader),
	}
	r.node.SetHostList(w.time(), p.hosts)
	return r
}

// alive reports whether this start of the router still runs.
func (r *router) alive() bool { return r.world.alive[r.index] && r.world.lives[r.index] == r.life }

// number returns the number that the configuration issued to a job's customer.
func (r *router) number(j *job) uint32 {
	parameters, _ := r.node.Store().State().Customer(customerName(j.customer))
	return parameters.Number
}

// enqueue submits a job to the queue.
func (r *router) enqueue(j *job) {
	request := entry.Request{
		Customer: r.number(j), Model: j.model(), Class: j.class.name, IsService: j.service,
		PromptTokens: j.prompt, MaxTokens: j.hint, BodyBytes: 4 * j.prompt,
	}
	if j.service {
		request.Deadline = r.world.time().Add(invokeLimit)
	}
	id, refused := r.node.Queue().Submit(r.world.time(), request)
	if refused != nil {
		r.refuse(j, refused)
		return
	}
	j.request = id
	r.calls[id] = j
	r.world.record.wait(j, true)
}

// abandon gives the claim of a booking up.
func (r *router) abandon(j *job) {
	if j.key != "" {
		r.node.Claimer().Abandon(r.world.time(), j.claim)
	}
}

// refuse tells the caller of a refusal. Callers send bookings again with the same key.
func (r *router) refuse(j *job, refused *refusal.Error) {
	r.abandon(j)
	r.world.record.wait(j, false)
	if j.key == "" {
		r.world.refuse(j, string(refused.Code))
		return
	}
	wait := failurePause
	if !refused.RetryAt.IsZero() {
		wait = max(wait, refused.RetryAt.Sub(r.world.time()))
	}
	r.world.again(j, wait, string(refused.Code))
}

// step does what is due.
func (r *router) step() {
	w := r.world
	if w.now-r.read >= readPeriod {
		r.read = w.now
		r.follow()
	}
	if since := w.now - r.ticked; since < tickPeriod || !r.dirty && since < idlePeriod {
		return
	}
	r.ticked, r.dirty = w.now, false
	if w.now-r.looked >= lookPeriod {
		r.looked = w.now
		r.look()
	}
	r.carryOut(r.node.Tick(w.time()))
}

// look opens links and reports progress.
func (r *router) look() {
	now := r.world.time()
	for _, peer := range r.node.WantedPeers(now) {
		r.product.links.open(r.index, r.product.byName[peer])
	}
	for _, id := range r.sortedCalls() {
		if run := r.calls[id].run; run != nil && run.units() > 0 {
			r.node.Queue().RecordProgress(now, id, units(run.units()))
		}
	}
}

// carryOut does what a tick asks for.
func (r *router) carryOut(output node.Output) {
	for _, packet := range output.Packets {
		r.product.links.send(r.index, packet)
	}
	for _, wanted := range output.Appends {
		r.product.log.append(r.index, wanted.Stream, wanted.Data, func(err error) {
			if r.alive() {
				r.node.Appended(r.world.time(), wanted.ID, err)
				r.dirty = true
			}
		})
	}
	for _, decision := range output.Decisions {
		r.decide(decision)
	}
	for _, verdict := range output.ClaimVerdicts {
		r.judge(verdict)
	}
	kept := r.stores[:0]
	for _, s := range r.stores {
		if r.node.Claimer().Open(s.job.claim) && r.world.now < s.until {
			kept = append(kept, s)
			continue
		}
		r.world.answer(s.job)
	}
	r.stores = kept
}

// decide sends a granted job to its target, or tells its caller of a refusal.
func (r *router) decide(decision entry.Decision) {
	j, now := r.calls[decision.RequestID], r.world.time()
	if j == nil {
		return
	}
	r.dirty = true
	switch {
	case decision.Refusal != nil:
		delete(r.calls, decision.RequestID)
		r.refuse(j, decision.Refusal)
	case !now.Before(decision.GrantDeadline):
		r.node.Queue().Requeue(now, j.request, fleetpb.Outcome_OUTCOME_UNUSED, nil, false)
	case j.key != "" && !r.node.Claimer().AuthorizeSend(now, j.claim):
		delete(r.calls, decision.RequestID)
		r.node.Queue().Finish(now, j.request, 0, fleetpb.Outcome_OUTCOME_UNUSED)
		r.refuse(j, refusal.New(refusal.Expired, "the claim of the key has lapsed"))
	default:
		r.world.send(j, r.world.byName[decision.Target], decision.GrantNumber)
	}
}

// judge goes on with a booking whose claim was decided.
func (r *router) judge(verdict claim.Verdict) {
	j := r.claims[verdict.ClaimID]
	if j == nil {
		return
	}
	delete(r.claims, verdict.ClaimID)
	r.dirty = true
	switch verdict.Outcome {
	case claim.OutcomeHeld:
		r.enqueue(j)
	case claim.OutcomeReplay:
		r.world.answer(j)
	default:
		r.refuse(j, verdict.Refusal())
	}
}

// follow reads the log streams that the node wants.
func (r *router) follow() {
	w := r.world
	for _, position := range r.node.Positions() {
		reading := r.readers[position.Stream]
		if reading == nil {
			reading = &reader{}
			r.readers[position.Stream] = reading
		}
		news := uint64(len(r.product.log.streams[position.Stream])) > position.Offset
		if reading.busy || reading.seen && !news && w.now-reading.last < idleRead {
			continue
		}
		reading.busy = true
		w.after(2*logLatency, func() { r.turn(reading, position.Stream) })
	}
}

// turn takes the answer to a read.
func (r *router) turn(reading *reader, stream string) {
	if !r.alive() {
		return
	}
	w := r.world
	r.dirty = true
	if !r.product.log.reachable(r.index) {
		r.node.ReadFailed(w.time(), stream)
		reading.seen = false
		w.after(failurePause, func() { reading.busy = false })
		return
	}
	reading.busy, reading.seen, reading.last = false, true, w.now
	for _, position := range r.node.Positions() {
		if position.Stream == stream {
			r.node.Page(w.time(), stream, r.product.log.page(stream, position.Offset))
		}
	}
}
