package requestqueue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Queue tracks the open requests of one entry router. It is not safe for concurrent use.
type Queue struct {
	// self is the name of this router.
	self string
	// progressInterval is the least time between two progress reports to a scheduler.
	progressInterval time.Duration
	// view is the latest view of the fleet. It is valid only if hasView is set.
	view    membership.View
	hasView bool
	// homePools caches the home pools of models in the current view.
	homePools map[string]cachedHome
	customers map[uint32]Customer
	usages    map[uint32]*customerUsage
	// calls holds all open calls by ID.
	calls map[uint64]*call
	// withoutPool holds the waiting calls whose model has no pool in the current view, by ID.
	withoutPool map[uint64]*call
	deadlines   deadlineHeap
	pools       map[membership.Pool]*poolState
	// connectedPeers holds the peers with a session, and this router itself.
	connectedPeers map[string]bool
	estimator      estimator
	// lastID is the ID of the last submitted call.
	lastID uint64
	// pendingDecisions holds the decisions since the last tick.
	pendingDecisions []Decision
	// endsByScheduler holds rejected grants, and runs on lent slots that ended, for the schedulers that issued the grants or
	// own the slots. Ends of a pool's own runs are in its poolState.
	endsByScheduler map[schedulerAddress][]*fleetpb.Ended
	// formerSchedulers holds the schedulers that still have state of this router for a pool that has another scheduler now.
	formerSchedulers map[schedulerAddress]struct{}
}

// NewQueue returns an empty queue for the router self. The router always counts as connected to itself. The second parameter, the
// incarnation of the router, is not used, since a queue keeps nothing of a former incarnation.
func NewQueue(self string, _ uint64, options ...Option) *Queue {
	q := &Queue{
		self:             self,
		progressInterval: 500 * time.Millisecond,
		customers:        make(map[uint32]Customer),
		usages:           make(map[uint32]*customerUsage),
		homePools:        make(map[string]cachedHome),
		calls:            make(map[uint64]*call),
		withoutPool:      make(map[uint64]*call),
		pools:            make(map[membership.Pool]*poolState),
		connectedPeers:   map[string]bool{self: true},
		estimator:        newEstimator(),
		endsByScheduler:  make(map[schedulerAddress][]*fleetpb.Ended),
		formerSchedulers: make(map[schedulerAddress]struct{}),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// SetCustomers replaces the parameters of all customers. Waiting requests keep the parameters of their submission. The queue
// keeps the map, which the caller must not change afterwards.
func (q *Queue) SetCustomers(_ time.Time, customers map[uint32]Customer) { q.customers = customers }

// Submit queues a request and returns its ID, which is unique for this queue. If the request is not admitted, it returns a
// refusal instead, and the request has not run.
func (q *Queue) Submit(now time.Time, request Request) (uint64, *refusal.Error) {
	customer, ok := q.customers[request.Customer]
	if !ok {
		return 0, refusal.Newf(refusal.Forbidden, "customer %d is not configured", request.Customer)
	}
	class, ok := customer.Classes[request.Class]
	if !ok {
		return 0, refusal.Newf(refusal.UnknownClass, "the customer has no class %q", request.Class)
	}
	if !request.Deadline.IsZero() && !request.Deadline.After(now) {
		return 0, refusal.New(refusal.DeadlinePast, "the deadline has passed")
	}
	usage := q.usageOf(request.Customer)
	if refused := usage.checkLimits(now, customer.Limits, request.BodyBytes); refused != nil {
		return 0, refused
	}
	if _, found := q.homePool(request.Model); q.hasView && !found {
		return 0, noTargetRefusal(now, request.Model)
	}
	q.lastID++
	c := &call{id: q.lastID, request: request, due: now.Add(class.Patience), long: class.Long}
	c.estimate = q.estimator.estimate(request)
	q.calls[c.id] = c
	usage.open++
	q.enqueue(now, c)
	q.addDeadline(c)
	return c.id, nil
}

// RecordProgress sets the cumulative service of a running request in milli-units. Lower values than before are ignored.
func (q *Queue) RecordProgress(_ time.Time, id uint64, units uint64) {
	if c, ok := q.calls[id]; ok && c.run != nil {
		c.run.served = max(c.run.served, units)
	}
}

// Finish removes a request, waiting or running, with its total service in milli-units. Calling it again for the same ID has no
// effect. For a request that could not use its grant and should wait again, call Requeue instead.
func (q *Queue) Finish(_ time.Time, id uint64, units uint64, outcome fleetpb.Outcome) {
	c, ok := q.calls[id]
	if !ok {
		return
	}
	if c.run == nil {
		q.removeWaitingCall(c)
		return
	}
	q.endRun(c, units, outcome)
	if outcome == fleetpb.Outcome_OUTCOME_DONE && q.estimator.recordService(c.request, units) {
		q.updateEstimates(averageKeyOf(c.request))
	}
	q.removeCall(c)
}

// updateEstimates updates the estimates of the waiting calls that belong to an average, and marks them to be announced again.
// Otherwise a customer with estimates that are far off would get too few or too many slots until all of these calls had run.
func (q *Queue) updateEstimates(key averageKey) {
	for _, p := range q.pools {
		for id, c := range p.waiting {
			if averageKeyOf(c.request) == key {
				c.estimate = q.estimator.estimate(c.request)
				p.markChanged(id)
			}
		}
	}
}

// Cancel removes a request that its caller gave up, with the service recorded so far. Unknown IDs are ignored.
func (q *Queue) Cancel(now time.Time, id uint64) {
	if c, ok := q.calls[id]; ok {
		units := uint64(0)
		if c.run != nil {
			units = c.run.served
		}
		q.Finish(now, id, units, fleetpb.Outcome_OUTCOME_CANCELLED)
	}
}

// Requeue makes a running request wait again after its target failed before any output. The outcome is that of the ended run.
// The request keeps its due time, and so its place among the customer's requests. The targets in excluded are added to its
// ExcludedTargets, and Apart is set if apart is set.
func (q *Queue) Requeue(now time.Time, id uint64, outcome fleetpb.Outcome, excluded []string, apart bool) {
	c, ok := q.calls[id]
	if !ok || c.run == nil {
		return
	}
	q.endRun(c, 0, outcome)
	for _, target := range excluded {
		if !slices.Contains(c.request.ExcludedTargets, target) {
			c.request.ExcludedTargets = append(slices.Clone(c.request.ExcludedTargets), target)
		}
	}
	c.request.Apart = c.request.Apart || apart
	c.estimate = q.estimator.estimate(c.request)
	q.enqueue(now, c)
	q.addDeadline(c)
}

// addDeadline adds the caller's deadline, if there is one, to the deadlines that Tick checks.
func (q *Queue) addDeadline(c *call) {
	if !c.request.Deadline.IsZero() {
		heap.Push(&q.deadlines, callDeadline{at: c.request.Deadline, callID: c.id})
	}
}

// enqueue counts a call without a run as waiting and assigns it to its home pool.
func (q *Queue) enqueue(now time.Time, c *call) {
	usage := q.usageOf(c.request.Customer)
	usage.waiting++
	usage.waitingBytes += c.request.BodyBytes
	q.assignHomePool(now, c)
}

// assignHomePool adds a waiting call to the home pool of its model, or to withoutPool if there is none.
func (q *Queue) assignHomePool(now time.Time, c *call) {
	home, found := q.homePool(c.request.Model)
	if !found {
		c.hasPool, c.noPoolSince = false, now
		q.withoutPool[c.id] = c
		return
	}
	delete(q.withoutPool, c.id)
	c.hasPool, c.pool = true, home
	q.poolState(home).addWaiting(c)
}

// stopWaiting removes a call from the counts of waiting calls and from withoutPool, but not from its pool.
func (q *Queue) stopWaiting(c *call) {
	usage := q.usageOf(c.request.Customer)
	usage.waiting--
	usage.waitingBytes -= c.request.BodyBytes
	delete(q.withoutPool, c.id)
}

// removeWaitingCall removes a waiting call from its pool and from the queue.
func (q *Queue) removeWaitingCall(c *call) {
	q.stopWaiting(c)
	if c.hasPool {
		q.poolState(c.pool).removeWaiting(c.id)
	}
	q.removeCall(c)
}

// removeCall removes a call, which neither waits nor runs any more, from the queue. The usage of a customer that was granted a slot
// before is kept, because it holds the grant interval.
func (q *Queue) removeCall(c *call) {
	delete(q.calls, c.id)
	usage := q.usageOf(c.request.Customer)
	usage.open--
	if usage.open == 0 && usage.lastGrant.IsZero() {
		delete(q.usages, c.request.Customer)
	}
}

// endRun ends the run of a call with its total service in milli-units, and records the end for the scheduler of its pool and
// for the owner of a lent slot. The service of an unused grant counts as zero.
func (q *Queue) endRun(c *call, units uint64, outcome fleetpb.Outcome) {
	run := c.run
	c.run = nil
	units = max(units, run.served)
	if outcome == fleetpb.Outcome_OUTCOME_UNUSED {
		units = 0
	}
	state := q.poolState(c.pool)
	delete(state.running, c.id)
	state.pendingEnds = append(state.pendingEnds, &fleetpb.Ended{Grant: run.grantNumber, Units: units, Outcome: outcome})
	q.reportLoanEnd(run.slotOwner, run.lenderPool, &fleetpb.Ended{
		Grant:   run.grantNumber,
		Outcome: outcome,
		Target:  run.target,
		Loan:    run.loanNumber,
	})
}

// reportLoanEnd records, for the owner of a lent slot, that a run on it has ended or did not start. It does nothing if owner is
// empty or has no session.
func (q *Queue) reportLoanEnd(owner, lender string, ended *fleetpb.Ended) {
	if owner == "" || !q.connectedPeers[owner] {
		return
	}
	to := schedulerAddress{host: owner, pool: lender}
	q.endsByScheduler[to] = append(q.endsByScheduler[to], ended)
}

// usageOf returns the usage of a customer and creates it if there is none.
func (q *Queue) usageOf(customer uint32) *customerUsage {
	usage, ok := q.usages[customer]
	if !ok {
		usage = &customerUsage{grantInterval: time.Second}
		q.usages[customer] = usage
	}
	return usage
}

// poolState returns the state of a pool and creates it if there is none.
func (q *Queue) poolState(pool membership.Pool) *poolState {
	state, ok := q.pools[pool]
	if !ok {
		state = newPoolState(pool)
		state.scheduler = q.view.Scheduler(pool)
		q.pools[pool] = state
	}
	return state
}

// noTargetRefusal returns the refusal of a request whose model has no target.
func noTargetRefusal(now time.Time, model string) *refusal.Error {
	return refusal.Newf(refusal.NoTarget, "no target serves %q", model).WithRetryAt(now.Add(time.Second))
}
