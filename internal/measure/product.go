package measure

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Limits of the customers' template; a flood runs into them.
const (
	waitingLimit    = 200
	connectionLimit = 1000
)

// product is the policy of the routers.
type product struct {
	world   *world
	links   *links
	log     *fakeLog
	hosts   outside.HostList
	routers []*router
	byName  map[string]int
}

// newProduct returns the policy with a published configuration.
func newProduct(w *world) *product {
	p := &product{
		world: w, log: &fakeLog{world: w, streams: make(map[string][]outside.Record)},
		routers: make([]*router, len(w.lives)), byName: make(map[string]int),
	}
	p.links = newLinks(p)
	p.hosts = outside.HostList{Version: 1}
	for i := range w.lives {
		zone := zoneName(w.deployment.zoneOf(i))
		p.byName[routerName(i)] = i
		p.hosts.Hosts = append(p.hosts.Hosts, outside.Host{
			Name: routerName(i), Role: outside.RoleRouter, Region: zone, Zone: zone,
		})
	}
	for _, e := range w.engines {
		host := outside.Host{
			Name: e.name, Role: outside.RoleEngine, Region: zoneName(e.zone), Zone: zoneName(e.zone),
			Address: e.name, Model: (&job{service: e.service}).model(), Slots: slots,
		}
		if e.service {
			host.Role = outside.RoleService
		}
		p.hosts.Hosts = append(p.hosts.Hosts, host)
	}
	p.log.put(config.Stream, config.Record{Change: p.change()}.Encode())
	w.victim = p.byName[p.schedulerOf(0)]
	return p
}

// change returns the configuration of all customers. The fold issues their numbers in the order of their names.
func (p *product) change() *config.Change {
	named := make(map[string]config.Class)
	for _, c := range classes {
		named[c.name] = config.Class{PatienceMs: c.patience.Milliseconds(), Long: c.long}
	}
	named[lookup], named[booking] = config.Class{PatienceMs: 500}, config.Class{PatienceMs: 500}
	change := &config.Change{ID: "first", Author: "measure"}
	change.PutTemplates = []config.Template{{
		Name: "all", Weight: 1, Classes: named,
		Limits: config.Limits{Waiting: waitingLimit, Connections: connectionLimit},
	}}
	for customer := range p.world.deployment.Customers {
		change.PutCustomers = append(change.PutCustomers, config.Customer{
			Name: customerName(customer), Template: "all", Weight: p.world.deployment.weight(customer),
		})
	}
	change.PutServices = []config.Service{{Name: "shop", Operations: map[string]bool{lookup: true, booking: false}}}
	return change
}

// customerName returns the name of a customer.
func customerName(customer int) string { return "customer-" + strconv.Itoa(100+customer) }

// schedulerOf returns the router that schedules the model pool of an availability zone while all routers are up.
func (p *product) schedulerOf(zone int) string {
	tracker := membership.NewTracker(membership.Router{Name: routerName(0), Zone: zoneName(0), Region: zoneName(0)}, 1, 1)
	tracker.List(start, p.hosts)
	return tracker.View().Scheduler(membership.Pool{Zone: zoneName(zone), Model: "writer"})
}

// restart starts a router without state.
func (p *product) restart(router int) { p.routers[router] = newRouter(p, router) }

// kill ends a router; its peers see their sessions end.
func (p *product) kill(router int) {
	for other := range p.routers {
		p.links.close(router, other)
	}
	p.routers[router] = nil
}

// cut breaks the sessions across the cut.
func (p *product) cut() { p.links.cut() }

// submit takes a job at its router.
func (p *product) submit(j *job) {
	r := p.routers[j.router]
	now := p.world.time()
	if r.node.Store().Isolated(now) {
		p.world.refuse(j, "isolated")
		return
	}
	r.dirty = true
	if j.key == "" {
		r.enqueue(j)
		return
	}
	j.claim = r.node.Claimer().Claim(now, claim.Request{
		Key: j.key, Customer: r.number(j), BodyHash: []byte(j.key), Deadline: now.Add(invokeLimit),
	})
	r.claims[j.claim] = j
}

// invokeLimit is the time that callers of bookings wait for an answer.
const invokeLimit = 10 * time.Second

// cancel drops a job that waits.
func (p *product) cancel(j *job) bool {
	r := p.routers[j.router]
	if r == nil || j.pending {
		return false
	}
	if r.claims[j.claim] == j {
		delete(r.claims, j.claim)
		r.node.Claimer().Abandon(p.world.time(), j.claim)
		return true
	}
	if r.calls[j.request] != j {
		return false
	}
	delete(r.calls, j.request)
	r.node.Queue().Cancel(p.world.time(), j.request)
	r.abandon(j)
	return true
}

// ended ends a run in its router's queue. A booking is answered when its answer is stored.
func (p *product) ended(run *run) bool {
	r, j, now := p.routers[run.router], run.job, p.world.time()
	if r.calls[j.request] != j || j.run != run {
		return false
	}
	delete(r.calls, j.request)
	r.node.Queue().Finish(now, j.request, units(run.units()), fleetpb.Outcome_OUTCOME_DONE)
	r.dirty = true
	if j.key == "" {
		return true
	}
	r.node.Claimer().Complete(now, j.claim, 200, []byte(j.key))
	r.stores = append(r.stores, store{job: j, until: p.world.now + storeLimit})
	return false
}

// units returns service in milli-units.
func units(service float64) uint64 { return uint64(service * 1000) }

// failed makes a job wait again that did not reach its target.
func (p *product) failed(run *run) {
	r, j, now := p.routers[run.router], run.job, p.world.time()
	r.dirty = true
	j.run = nil
	if j.key != "" {
		r.node.Claimer().MarkNotRun(now, j.claim)
	}
	if j.attempts++; j.attempts >= runLimit {
		delete(r.calls, j.request)
		r.node.Queue().Finish(now, j.request, 0, fleetpb.Outcome_OUTCOME_UNUSED)
		r.abandon(j)
		p.world.refuse(j, "target_failed")
		return
	}
	r.node.Queue().Requeue(now, j.request, fleetpb.Outcome_OUTCOME_UNUSED, []string{run.engine.name}, false)
	p.world.record.wait(j, true)
}

// runLimit is the number of targets that one call may be sent to, as in the router process.
const runLimit = 4

// broke ends a run that was cut off from its router.
func (p *product) broke(run *run) {
	r := p.routers[run.router]
	if !p.world.known(run) || r.calls[run.job.request] != run.job {
		return
	}
	delete(r.calls, run.job.request)
	r.dirty = true
	r.node.Queue().Finish(p.world.time(), run.job.request, units(run.units()), fleetpb.Outcome_OUTCOME_CRASHED)
}

// reported hands a load report to the routers that read the reports of the engine.
func (p *product) reported(e *engine) {
	load := outside.LoadReport{
		MeasuredAt: start.Add(e.loadAt), Running: min(e.load, slots), Queued: max(0, e.load-slots), Slots: slots, Incarnation: "1",
	}
	for i, r := range p.routers {
		if r != nil && p.world.reaches(i, e.zone) && slices.Contains(r.node.PolledTargets(), e.name) {
			r.node.ObserveLoad(p.world.time(), e.name, load)
			r.dirty = true
		}
	}
}

// step lets all routers work.
func (p *product) step() {
	for _, r := range p.routers {
		if r != nil {
			r.step()
		}
	}
}

// sortedCalls returns the numbers of a router's open calls.
func (r *router) sortedCalls() []uint64 { return slices.Sorted(maps.Keys(r.calls)) }
