package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/accounting"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// poolScheduler schedules the requests of one pool.
type poolScheduler struct {
	settings
	pool membership.Pool
	// name is pool in its text form.
	name   string
	region string
	// ledger holds the service counters of the customers. It outlives the poolScheduler.
	ledger *accounting.Ledger
	// weights is owned by the Scheduler.
	weights map[uint32]uint32
	// queues holds the customers with waiting requests, demands the same requests by key.
	queues  map[uint32]*customerQueue
	demands map[demandKey]*demand
	runs    map[runKey]*run
	// targets are the targets of the pool, sorted by name.
	targets  []*target
	loans    []*loan
	borrowed []*borrowedSlots
	prefixes *prefixCache
	// reachableFraction is the part of the availability zone's listed routers that this router sees as up, from 0 to 1.
	reachableFraction float64
	// lastNumber is the last number of a grant or loan. It is shared by all pools of the Scheduler.
	lastNumber *uint64
	meter      rateMeter
	// waitingUnits is the estimated service of the waiting requests in milli-units.
	waitingUnits uint64
	// waitingShort is the number of waiting requests of short classes.
	waitingShort int
	// lastGrantedCounter is the highest service counter, without charges in flight, that a customer had when it was granted
	// a slot. It is the floor for a returning customer if no customer has waiting requests.
	lastGrantedCounter uint64
	// remoteCounter is the lowest service counter of the customers of other pools that want slots, zero if there is none.
	remoteCounter uint64
	// withoutTotal holds the customers for which the owner of their shard had no total.
	withoutTotal map[uint32]struct{}
	// inFlight is the charge of each customer's runs in weighted milli-units.
	inFlight  map[uint32]uint64
	createdAt time.Time
	// nextReportCheck is the time of the next check for due reports of the ledger.
	nextReportCheck time.Time
	// nextTotalsRequest is the time of the next request for totals.
	nextTotalsRequest time.Time
	// lastSummaries holds the last summary sent to each neighbour, by name of the pool.
	lastSummaries map[string]sentSummary
	// unassigned is set if the view does not assign the pool to this router.
	unassigned bool
}

// newPoolScheduler returns a scheduler without targets and requests. It increments lastNumber for each grant and loan.
func newPoolScheduler(
	now time.Time, pool membership.Pool, settings settings, ledger *accounting.Ledger, lastNumber *uint64,
) *poolScheduler {
	return &poolScheduler{
		settings:          settings,
		pool:              pool,
		name:              pool.String(),
		ledger:            ledger,
		queues:            make(map[uint32]*customerQueue),
		demands:           make(map[demandKey]*demand),
		runs:              make(map[runKey]*run),
		prefixes:          newPrefixCache(),
		reachableFraction: 1,
		lastNumber:        lastNumber,
		lastSummaries:     make(map[string]sentSummary),
		withoutTotal:      make(map[uint32]struct{}),
		inFlight:          make(map[uint32]uint64),
		createdAt:         now,
	}
}

// applyView updates the targets of the pool, and the fraction of its availability zone's routers that is reachable, from a view.
func (s *poolScheduler) applyView(now time.Time, view membership.View) {
	s.region = view.PoolRegion(s.pool)
	s.unassigned = view.Scheduler(s.pool) != view.Self().Name
	hadFullView := !s.hasPartialView()
	s.reachableFraction = 1
	if live, listed := view.CountRouters(s.pool.Zone); listed > 0 && live < listed {
		// If no listed router is up, half a router is counted, because a fraction of zero would never refill the budgets.
		s.reachableFraction = max(float64(live), 0.5) / float64(listed)
	}
	members := view.PoolTargets(s.pool)
	targets := make([]*target, 0, len(members))
	for _, name := range members {
		listed, _ := view.Target(name)
		t := s.target(name)
		if t == nil {
			t = s.newTarget(now, name)
		}
		if t.loadReceivedAt.IsZero() || t.load.Slots <= 0 {
			t.slots = max(1, listed.Slots)
		}
		t.leaving, t.refillFraction = listed.Leaving, s.reachableFraction
		if hadFullView && s.hasPartialView() {
			t.budget = 0
		}
		targets = append(targets, t)
	}
	s.targets = targets
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool { return s.target(l.target) == nil })
}

// newTarget returns a target that joins the pool, with the known runs and loans on it counted. Its grant budget is zero.
func (s *poolScheduler) newTarget(now time.Time, name string) *target {
	t := &target{name: name, addedAt: now, refilledAt: now}
	for _, r := range s.runs {
		if r.target == name {
			t.addSlot(r.grantedAt, r.attrs)
		}
	}
	for _, l := range s.loans {
		if l.target == name {
			t.ownSlots += l.remaining
		}
	}
	t.budget = 0
	return t
}

// target returns a target by name, nil if it is not in the pool.
func (s *poolScheduler) target(name string) *target {
	i, found := slices.BinarySearchFunc(s.targets, name, func(t *target, n string) int { return cmp.Compare(t.name, n) })
	if !found {
		return nil
	}
	return s.targets[i]
}

// idle reports whether the scheduler has no requests, runs and loans, and the owners of the customer shards know all of its
// service.
func (s *poolScheduler) idle() bool {
	return len(s.demands) == 0 && len(s.runs) == 0 && len(s.loans) == 0 && !s.ledger.HasUnreported()
}

// hasPartialView reports whether this router sees only a part of the availability zone's routers as up. Grants are then limited
// by a budget for each target, because unreachable schedulers may grant the same slots.
func (s *poolScheduler) hasPartialView() bool { return s.reachableFraction < 1 }

// weight returns a customer's weight, 1 if none is configured.
func (s *poolScheduler) weight(customer uint32) uint64 { return uint64(max(1, s.weights[customer])) }

// addDemand adds a waiting request and replaces an earlier announcement of it. The service counter of a customer that had no
// waiting requests is raised to the floor.
func (s *poolScheduler) addDemand(d *demand) {
	s.removeDemand(d.key)
	queue, ok := s.queues[d.customer]
	if !ok {
		s.ledger.RaiseToFloor(d.customer, s.counterFloor())
		queue = &customerQueue{customer: d.customer}
		s.queues[d.customer] = queue
	}
	queue.add(d)
	s.demands[d.key] = d
	s.waitingUnits += d.estimate
	if !d.long {
		s.waitingShort++
	}
}

// removeDemand removes a waiting request. It does nothing if the request is not known.
func (s *poolScheduler) removeDemand(key demandKey) {
	d, ok := s.demands[key]
	if !ok {
		return
	}
	delete(s.demands, key)
	s.waitingUnits -= d.estimate
	if !d.long {
		s.waitingShort--
	}
	queue := s.queues[d.customer]
	queue.remove(d)
	if queue.size() == 0 {
		delete(s.queues, d.customer)
	}
}

// removeDemandsOf removes all waiting requests of an entry router.
func (s *poolScheduler) removeDemandsOf(entry string) {
	var keys []demandKey
	for key := range s.demands {
		if key.entry == entry {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.removeDemand(key)
	}
}

// counterFloor returns the least service counter that a customer gets when it returns from idle: the lowest counter of the
// customers with waiting requests in this pool, else in other pools, else lastGrantedCounter. Charges of requests in flight in
// this pool are left out, because they may be too high and the returning customer has no requests in flight.
func (s *poolScheduler) counterFloor() uint64 {
	lowest, found := uint64(0), false
	for customer := range s.queues {
		if counter := s.settledCounter(customer); !found || counter < lowest {
			lowest, found = counter, true
		}
	}
	if found {
		return lowest
	}
	if s.remoteCounter > 0 {
		return s.remoteCounter
	}
	return s.lastGrantedCounter
}

// settledCounter returns a customer's service counter without the charges of its requests in flight in this pool.
func (s *poolScheduler) settledCounter(customer uint32) uint64 {
	counter := s.ledger.Counter(customer)
	return counter - min(counter, s.inFlight[customer])
}

// updateFloors updates remoteCounter from the other pools. While the scheduler is younger than lostTotalWindow, it also raises
// customers without a total to the lowest service counter of the waiting customers whose counter includes service beyond that
// of this pool.
func (s *poolScheduler) updateFloors(now time.Time, peers []*peerPool) {
	s.remoteCounter = 0
	for _, p := range peers {
		if p.wantsSlots(now, s.region) && p.lowestCounter > 0 && (s.remoteCounter == 0 || p.lowestCounter < s.remoteCounter) {
			s.remoteCounter = p.lowestCounter
		}
	}
	if now.Sub(s.createdAt) > lostTotalWindow {
		clear(s.withoutTotal)
	}
	if len(s.withoutTotal) == 0 {
		return
	}
	lowest, found := uint64(0), false
	for customer := range s.queues {
		if counter := s.ledger.Counter(customer); s.ledger.HasRemoteService(customer) && (!found || counter < lowest) {
			lowest, found = counter, true
		}
	}
	if found {
		for customer := range s.withoutTotal {
			s.ledger.RaiseToFloor(customer, lowest)
		}
		clear(s.withoutTotal)
	}
}

// lostTotalWindow is how long a new pool scheduler looks for customers whose shard owner lost its state at the same time. Such a
// customer would start from zero among customers with a history, and be served alone until it has caught up with them.
const lostTotalWindow = 3 * time.Second

// applyTotals updates the ledger from the answer of a shard owner and records the customers for which the owner had no total.
func (s *poolScheduler) applyTotals(totals *fleetpb.Totals) {
	for _, customer := range s.ledger.Receive(totals) {
		s.withoutTotal[customer] = struct{}{}
	}
}

// lowestCounter returns the lowest service counter of the customers with waiting requests, false if there is none.
func (s *poolScheduler) lowestCounter() (uint64, bool) {
	lowest, found := uint64(0), false
	for customer := range s.queues {
		if counter := s.ledger.Counter(customer); !found || counter < lowest {
			lowest, found = counter, true
		}
	}
	return lowest, found
}

// addRun records a run and counts its slot. Its charge counts as in flight.
func (s *poolScheduler) addRun(r *run) {
	s.runs[r.key] = r
	s.inFlight[r.customer] += r.weightedCharge
	if t := s.target(r.target); t != nil {
		t.addSlot(r.grantedAt, r.attrs)
	}
}

// endRun removes a run, adjusts its charge to the service that it got, in milli-units, and frees its slot.
func (s *poolScheduler) endRun(now time.Time, r *run, units uint64) {
	s.adjustCharge(r, units)
	delete(s.runs, r.key)
	s.inFlight[r.customer] -= r.weightedCharge
	if s.inFlight[r.customer] == 0 {
		delete(s.inFlight, r.customer)
	}
	if t := s.target(r.target); t != nil {
		t.releaseSlot(now, r.grantedAt, r.attrs)
	}
}

// chargeEstimate charges the customer with the expected service of a run, in milli-units, at its dispatch.
func (s *poolScheduler) chargeEstimate(r *run, units uint64) {
	r.charged, r.weightedCharge = units, units/r.weight
	s.ledger.Charge(r.customer, r.weightedCharge)
	s.meter.add(units)
}

// adjustCharge changes the charge of a run to the service that it got, in milli-units.
func (s *poolScheduler) adjustCharge(r *run, units uint64) {
	weighted := units / r.weight
	if weighted >= r.weightedCharge {
		s.ledger.Charge(r.customer, weighted-r.weightedCharge)
		s.meter.add(units - min(units, r.charged))
	} else {
		s.ledger.Refund(r.customer, r.weightedCharge-weighted)
	}
	s.inFlight[r.customer] += weighted - r.weightedCharge
	r.charged, r.weightedCharge = units, weighted
}

// runsWhere returns the runs that match, sorted by key.
func (s *poolScheduler) runsWhere(match func(*run) bool) []*run {
	var runs []*run
	for _, r := range s.runs {
		if match(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.key.entry, b.key.entry), cmp.Compare(a.key.grant, b.key.grant))
	})
	return runs
}
