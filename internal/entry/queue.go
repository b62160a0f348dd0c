package entry

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Queue holds the requests of the callers of one router.
type Queue struct {
	self      string
	every     time.Duration
	view      membership.View
	located   bool
	homes     map[string]home
	customers map[uint32]Customer
	usages    map[uint32]*usage
	calls     map[uint64]*call
	stranded  map[uint64]*call
	deadlines expiries
	lanes     map[membership.Pool]*lane
	connected map[string]bool
	estimates estimates
	last      uint64
	decisions []Decision
	finishes  map[address][]*fleetpb.Ended
	farewells map[address]struct{}
}

// NewQueue returns an empty queue of the router self, which is always connected to the scheduler of its own router. The
// incarnation is that of the router's sessions; the queue needs nothing of a former one.
func NewQueue(self string, _ uint64, options ...Option) *Queue {
	q := &Queue{
		self:      self,
		every:     500 * time.Millisecond,
		customers: make(map[uint32]Customer),
		usages:    make(map[uint32]*usage),
		homes:     make(map[string]home),
		calls:     make(map[uint64]*call),
		stranded:  make(map[uint64]*call),
		lanes:     make(map[membership.Pool]*lane),
		connected: map[string]bool{self: true},
		estimates: newEstimates(),
		finishes:  make(map[address][]*fleetpb.Ended),
		farewells: make(map[address]struct{}),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// SetCustomers takes over the parameters of all customers. Requests that wait already keep theirs.
func (q *Queue) SetCustomers(_ time.Time, customers map[uint32]Customer) { q.customers = customers }

// Submit adds a request and returns its number, or a refusal: the request did not run.
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
	used := q.usage(request.Customer)
	if refused := used.check(now, customer.Limits, request.BodyBytes); refused != nil {
		return 0, refused
	}
	if _, found := q.home(request.Model); q.located && !found {
		return 0, noTarget(now, request.Model)
	}
	q.last++
	c := &call{id: q.last, request: request, due: now.Add(class.Patience), long: class.Long}
	c.estimate = q.estimates.expect(request)
	q.calls[c.id] = c
	used.open++
	q.wait(now, c)
	q.expect(c)
	return c.id, nil
}

// RecordProgress notes the cumulative service of a running request in milli-units.
func (q *Queue) RecordProgress(_ time.Time, id uint64, units uint64) {
	if c, ok := q.calls[id]; ok && c.run != nil {
		c.run.units = max(c.run.units, units)
	}
}

// Finish ends a request with its whole service in milli-units; a request that could not use its grant and shall wait again
// goes to Requeue instead. Repeating it changes nothing.
func (q *Queue) Finish(_ time.Time, id uint64, units uint64, outcome fleetpb.Outcome) {
	c, ok := q.calls[id]
	if !ok {
		return
	}
	if c.run == nil {
		q.drop(c)
		return
	}
	q.end(c, units, outcome)
	if outcome == fleetpb.Outcome_OUTCOME_DONE && q.estimates.learn(c.request, units) {
		q.reestimate(keyOf(c.request))
	}
	q.forget(c)
}

// reestimate announces the waiting requests of a customer and class again. With an estimate far off, the customer would
// get too few or too many slots until all of them have run.
func (q *Queue) reestimate(key estimateKey) {
	for _, l := range q.lanes {
		for id, c := range l.waiting {
			if keyOf(c.request) == key {
				c.estimate = q.estimates.expect(c.request)
				l.change(id)
			}
		}
	}
}

// Cancel ends a request that its caller gave up.
func (q *Queue) Cancel(now time.Time, id uint64) {
	if c, ok := q.calls[id]; ok {
		units := uint64(0)
		if c.run != nil {
			units = c.run.units
		}
		q.Finish(now, id, units, fleetpb.Outcome_OUTCOME_CANCELLED)
	}
}

// Requeue makes a granted request wait again after its target failed before any output. It keeps its place by its due
// time, gets no target of avoid, and shares no target with another suspect if apart is set.
func (q *Queue) Requeue(now time.Time, id uint64, outcome fleetpb.Outcome, avoid []string, apart bool) {
	c, ok := q.calls[id]
	if !ok || c.run == nil {
		return
	}
	q.end(c, 0, outcome)
	for _, target := range avoid {
		if !slices.Contains(c.request.ExcludedTargets, target) {
			c.request.ExcludedTargets = append(slices.Clone(c.request.ExcludedTargets), target)
		}
	}
	c.request.Apart = c.request.Apart || apart
	c.estimate = q.estimates.expect(c.request)
	q.wait(now, c)
	q.expect(c)
}

// expect makes the call's deadline known to the next ticks.
func (q *Queue) expect(c *call) {
	if !c.request.Deadline.IsZero() {
		heap.Push(&q.deadlines, expiry{at: c.request.Deadline, id: c.id})
	}
}

// wait puts a call without a run into the lane of its home pool.
func (q *Queue) wait(now time.Time, c *call) {
	used := q.usage(c.request.Customer)
	used.waiting++
	used.bytes += c.request.BodyBytes
	q.place(now, c)
}

// place announces a waiting call to its home pool, or notes that there is none.
func (q *Queue) place(now time.Time, c *call) {
	home, found := q.home(c.request.Model)
	if !found {
		c.placed, c.stranded = false, now
		q.stranded[c.id] = c
		return
	}
	delete(q.stranded, c.id)
	c.placed, c.pool = true, home
	q.lane(home).wait(c)
}

// unwait takes a call out of the waiting ones.
func (q *Queue) unwait(c *call) {
	used := q.usage(c.request.Customer)
	used.waiting--
	used.bytes -= c.request.BodyBytes
	delete(q.stranded, c.id)
}

// drop ends a call that waits.
func (q *Queue) drop(c *call) {
	q.unwait(c)
	if c.placed {
		q.lane(c.pool).leave(c.id)
	}
	q.forget(c)
}

// forget removes a call that neither waits nor runs.
func (q *Queue) forget(c *call) {
	delete(q.calls, c.id)
	used := q.usage(c.request.Customer)
	used.open--
	if used.open == 0 && used.granted.IsZero() {
		delete(q.usages, c.request.Customer)
	}
}

// end reports the end of a call's run to the scheduler that granted it, and to the owner of a lent slot.
func (q *Queue) end(c *call, units uint64, outcome fleetpb.Outcome) {
	run := c.run
	c.run = nil
	units = max(units, run.units)
	if outcome == fleetpb.Outcome_OUTCOME_UNUSED {
		units = 0
	}
	lane := q.lane(c.pool)
	delete(lane.running, c.id)
	lane.ended = append(lane.ended, &fleetpb.Ended{Grant: run.grant, Units: units, Outcome: outcome})
	q.release(run.owner, run.lender, &fleetpb.Ended{
		Grant:   run.grant,
		Outcome: outcome,
		Target:  run.target,
		Loan:    run.loan,
	})
}

// release tells the owner of a lent slot that a run on it has ended.
func (q *Queue) release(owner, lender string, ended *fleetpb.Ended) {
	if owner == "" || !q.connected[owner] {
		return
	}
	to := address{host: owner, pool: lender}
	q.finishes[to] = append(q.finishes[to], ended)
}

// usage returns what a customer has open.
func (q *Queue) usage(customer uint32) *usage {
	used, ok := q.usages[customer]
	if !ok {
		used = &usage{interval: time.Second}
		q.usages[customer] = used
	}
	return used
}

// lane returns the lane of a pool and creates it if there is none.
func (q *Queue) lane(pool membership.Pool) *lane {
	found, ok := q.lanes[pool]
	if !ok {
		found = newLane(pool)
		found.scheduler = q.view.Scheduler(pool)
		q.lanes[pool] = found
	}
	return found
}

// noTarget returns the refusal of a request whose model has no target.
func noTarget(now time.Time, model string) *refusal.Error {
	return refusal.Newf(refusal.NoTarget, "no target serves %q", model).WithRetryAt(now.Add(time.Second))
}
