package measure

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// Limits of the customers' template. The customer that floods reaches them.
const (
	waitingLimit    = 200
	connectionLimit = 1000
)

// product is the policy of chicorydale itself: the decision cores of the routers, connected by fakes.
type product struct {
	sim           *simulation
	links         *links
	log           *fakeLog
	hosts         external.HostList
	routers       []*routerDriver
	routerIndexes map[string]int
}

// newProduct returns the policy with a published configuration.
func newProduct(sim *simulation) *product {
	p := &product{
		sim: sim, log: &fakeLog{sim: sim, streams: make(map[string][]external.Record)},
		routers: make([]*routerDriver, len(sim.incarnations)), routerIndexes: make(map[string]int),
	}
	p.links = newLinks(p)
	p.hosts = external.HostList{Version: 1}
	for i := range sim.incarnations {
		zone := zoneName(sim.deployment.zoneOf(i))
		p.routerIndexes[routerName(i)] = i
		p.hosts.Hosts = append(p.hosts.Hosts, external.Host{
			Name: routerName(i), Role: external.RoleRouter, Region: zone, Zone: zone,
		})
	}
	for _, e := range sim.engines {
		host := external.Host{
			Name: e.name, Role: external.RoleEngine, Region: zoneName(e.zone), Zone: zoneName(e.zone),
			Address: e.name, Model: (&job{isService: e.isService}).modelOrServiceName(), Slots: slotsPerEngine,
		}
		if e.isService {
			host.Role = external.RoleService
		}
		p.hosts.Hosts = append(p.hosts.Hosts, host)
	}
	p.log.appendNow(config.Stream, config.Record{Change: p.initialChange()}.Encode())
	sim.routerToKill = p.routerIndexes[p.schedulerOf(0)]
	return p
}

// initialChange returns the configuration of all customers, the service and the template. The configuration numbers the
// customers in the order of their names.
func (p *product) initialChange() *config.Change {
	classesByName := make(map[string]config.Class)
	for _, c := range modelClasses {
		classesByName[c.name] = config.Class{PatienceMs: c.patience.Milliseconds(), Long: c.isLong}
	}
	classesByName[lookupClass], classesByName[bookingClass] = config.Class{PatienceMs: 500}, config.Class{PatienceMs: 500}
	change := &config.Change{ID: "first", Author: "measure"}
	change.PutTemplates = []config.Template{{
		Name: "all", Weight: 1, Classes: classesByName,
		Limits: config.Limits{Waiting: waitingLimit, Connections: connectionLimit},
	}}
	for customer := range p.sim.deployment.Customers {
		change.PutCustomers = append(change.PutCustomers, config.Customer{
			Name: customerName(customer), Template: "all", Weight: p.sim.deployment.weight(customer),
		})
	}
	change.PutServices = []config.Service{{Name: "shop", Operations: map[string]bool{lookupClass: true, bookingClass: false}}}
	return change
}

// customerName returns the name of a customer. The offset keeps the order of the names equal to that of the numbers.
func customerName(customer int) string { return "customer-" + strconv.Itoa(100+customer) }

// schedulerOf returns the name of the router that schedules the model pool of an availability zone while all routers are
// up.
func (p *product) schedulerOf(zone int) string {
	tracker := membership.NewTracker(membership.Router{Name: routerName(0), Zone: zoneName(0), Region: zoneName(0)}, 1, 1)
	tracker.SetHostList(simulationStart, p.hosts)
	return tracker.View().Scheduler(membership.Pool{Zone: zoneName(zone), Model: "writer"})
}

// routerStarted starts a router without state.
func (p *product) routerStarted(router int) { p.routers[router] = newRouterDriver(p, router) }

// routerKilled ends a router and closes its sessions.
func (p *product) routerKilled(router int) {
	for other := range p.routers {
		p.links.close(router, other)
	}
	p.routers[router] = nil
}

// zoneIsolated breaks the sessions with the isolated availability zone.
func (p *product) zoneIsolated() { p.links.breakIsolatedSessions() }

// submit hands a job to its router. A booking needs a claim before it enters the queue.
func (p *product) submit(j *job) {
	r := p.routers[j.router]
	now := p.sim.currentTime()
	if r.node.Store().Isolated(now) {
		p.sim.refuse(j, "isolated")
		return
	}
	r.needsTick = true
	if j.idempotencyKey == "" {
		r.enqueue(j)
		return
	}
	j.claimID = r.node.Claimer().Claim(now, claim.Request{
		Key: j.idempotencyKey, Customer: r.customerNumber(j), BodyHash: []byte(j.idempotencyKey), Deadline: now.Add(invokeTimeout),
	})
	r.pendingClaims[j.claimID] = j
}

// invokeTimeout is how long callers of services wait for an answer.
const invokeTimeout = 10 * time.Second

// cancel removes a job that waits for its claim or in the queue.
func (p *product) cancel(j *job) bool {
	r := p.routers[j.router]
	if r == nil || j.isResending {
		return false
	}
	if r.pendingClaims[j.claimID] == j {
		delete(r.pendingClaims, j.claimID)
		r.node.Claimer().Abandon(p.sim.currentTime(), j.claimID)
		return true
	}
	if r.jobsByRequestID[j.requestID] != j {
		return false
	}
	delete(r.jobsByRequestID, j.requestID)
	r.node.Queue().Cancel(p.sim.currentTime(), j.requestID)
	r.abandonClaim(j)
	return true
}

// attemptCompleted finishes a request in its router's queue. A booking is answered later, when its answer is stored.
func (p *product) attemptCompleted(a *attempt) bool {
	r, j, now := p.routers[a.router], a.job, p.sim.currentTime()
	if r.jobsByRequestID[j.requestID] != j || j.attempt != a {
		return false
	}
	delete(r.jobsByRequestID, j.requestID)
	r.node.Queue().Finish(now, j.requestID, milliUnits(a.servedUnits()), fleetpb.Outcome_OUTCOME_DONE)
	r.needsTick = true
	if j.idempotencyKey == "" {
		return true
	}
	r.node.Claimer().Complete(now, j.claimID, 200, []byte(j.idempotencyKey))
	r.pendingStores = append(r.pendingStores, pendingStore{job: j, deadline: p.sim.now + storeTimeout})
	return false
}

// milliUnits converts service units to the thousandths that the queue counts.
func milliUnits(serviceUnits float64) uint64 { return uint64(serviceUnits * 1000) }

// attemptUnreachable queues a job again that did not reach its target, and refuses it after maxAttempts attempts.
func (p *product) attemptUnreachable(a *attempt) {
	r, j, now := p.routers[a.router], a.job, p.sim.currentTime()
	r.needsTick = true
	j.attempt = nil
	if j.idempotencyKey != "" {
		r.node.Claimer().MarkNotRun(now, j.claimID)
	}
	if j.failedAttempts++; j.failedAttempts >= maxAttempts {
		delete(r.jobsByRequestID, j.requestID)
		r.node.Queue().Finish(now, j.requestID, 0, fleetpb.Outcome_OUTCOME_UNUSED)
		r.abandonClaim(j)
		p.sim.refuse(j, "target_failed")
		return
	}
	r.node.Queue().Requeue(now, j.requestID, fleetpb.Outcome_OUTCOME_UNUSED, []string{a.engine.name}, false)
	p.sim.recorder.setWaiting(j, true)
}

// maxAttempts is the number of targets that one call may be sent to, as in the router process.
const maxAttempts = 4

// attemptCutOff finishes a request whose attempt was interrupted, if its router has not restarted since.
func (p *product) attemptCutOff(a *attempt) {
	r := p.routers[a.router]
	if !p.sim.isSenderRunning(a) || r.jobsByRequestID[a.job.requestID] != a.job {
		return
	}
	delete(r.jobsByRequestID, a.job.requestID)
	r.needsTick = true
	r.node.Queue().Finish(p.sim.currentTime(), a.job.requestID, milliUnits(a.servedUnits()), fleetpb.Outcome_OUTCOME_CRASHED)
}

// loadReported passes a load report to the routers that poll the engine and can reach it.
func (p *product) loadReported(e *engine) {
	load := external.LoadReport{
		MeasuredAt: simulationStart.Add(e.reportedAt), Running: min(e.reportedLoad, slotsPerEngine),
		Queued: max(0, e.reportedLoad-slotsPerEngine), Slots: slotsPerEngine, Incarnation: "1",
	}
	for i, r := range p.routers {
		if r != nil && p.sim.canReach(i, e.zone) && slices.Contains(r.node.PolledTargets(), e.name) {
			r.node.ObserveLoad(p.sim.currentTime(), e.name, load)
			r.needsTick = true
		}
	}
}

// step runs one step of every router that is alive.
func (p *product) step() {
	for _, r := range p.routers {
		if r != nil {
			r.step()
		}
	}
}

// sortedRequestIDs returns the IDs of a router's open requests in ascending order.
func (r *routerDriver) sortedRequestIDs() []uint64 {
	return slices.Sorted(maps.Keys(r.jobsByRequestID))
}
