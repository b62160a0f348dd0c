package pool

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// grantSlots grants free slots to waiting requests, starting with the customer that has the lowest service counter. If the
// customers of another pool are behind that counter by more than the lending margin, the slot is lent to that pool instead.
func (s *poolScheduler) grantSlots(now time.Time, out *outbox, peers []*peerPool) {
	if len(s.demands) == 0 || !s.hasUsableSlot(now) {
		return
	}
	customers := make(customerHeap, 0, len(s.queues))
	for customer, queue := range s.queues {
		queue.counter = s.ledger.Counter(customer)
		customers = append(customers, queue)
	}
	heap.Init(&customers)
	for len(customers) > 0 && s.hasUsableSlot(now) {
		first := customers[0]
		if s.lendToLaggingPool(now, out, peers, first.counter) {
			continue
		}
		if !s.grantOne(now, out, first) {
			heap.Pop(&customers)
			continue
		}
		if first.size() == 0 {
			heap.Pop(&customers)
			continue
		}
		first.counter = s.ledger.Counter(first.customer)
		heap.Fix(&customers, 0)
	}
}

// hasUsableSlot reports whether any slot is free that a waiting request may take. Extra slots count only if a request of a
// short class waits.
func (s *poolScheduler) hasUsableSlot(now time.Time) bool {
	if len(s.borrowed) > 0 {
		return true
	}
	shortWaiting := s.waitingShort > 0
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.freeSlots(now, shortWaiting, s.hasPartialView()) > 0 })
}

// grantOne grants one slot to the customer's earliest due request that can use one. It returns false if none can.
func (s *poolScheduler) grantOne(now time.Time, out *outbox, queue *customerQueue) bool {
	includeLong := len(s.borrowed) > 0 || slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.freeSlots(now, false, s.hasPartialView()) > 0
	})
	granted := false
	queue.visitInDueOrder(includeLong, func(d *demand) bool {
		if t := s.chooseTarget(now, d); t != nil {
			s.dispatch(now, out, d, t.name, nil)
			granted = true
		} else if borrowed := s.chooseBorrowed(d); borrowed != nil {
			s.dispatch(now, out, d, borrowed.target, borrowed)
			granted = true
		}
		return granted
	})
	return granted
}

// chooseTarget returns the target for a request: the one that last ran its prompt prefix if that has a free slot within its
// batch size, else the one with the lowest relative occupancy. It returns nil if no target has a free slot for the request.
func (s *poolScheduler) chooseTarget(now time.Time, d *demand) *target {
	cachedAt := s.prefixes.get(d.prefix)
	var best *target
	for _, t := range s.targets {
		if t.freeSlots(now, !d.long, s.hasPartialView()) <= 0 || slices.Contains(d.avoid, t.name) || d.suspect && t.suspectRuns > 0 {
			continue
		}
		if t.name == cachedAt && t.freeSlots(now, false, s.hasPartialView()) > 0 {
			return t
		}
		if best == nil || t.occupancy(now)*best.slots < best.occupancy(now)*t.slots {
			best = t
		}
	}
	return best
}

// chooseBorrowed returns borrowed slots that a request may use, nil if there are none. A suspect gets none, because it is not
// known whether the lender's target already runs another suspect.
func (s *poolScheduler) chooseBorrowed(d *demand) *borrowedSlots {
	if d.suspect {
		return nil
	}
	for _, borrowed := range s.borrowed {
		if !slices.Contains(d.avoid, borrowed.target) {
			return borrowed
		}
	}
	return nil
}

// dispatch grants a slot of a target to a request, charges the estimate to the customer and records the run. borrowed is nil
// if the slot belongs to this pool.
func (s *poolScheduler) dispatch(now time.Time, out *outbox, d *demand, target string, borrowed *borrowedSlots) {
	s.removeDemand(d.key)
	s.lastGrantedCounter = max(s.lastGrantedCounter, s.settledCounter(d.customer))
	deadline := now.Add(s.grantTTL)
	if borrowed != nil {
		deadline = borrowed.deadline
	}
	r := &run{
		key:       runKey{entry: d.key.entry, grant: s.nextGrantNumber(d.key.entry)},
		request:   d.key.request,
		customer:  d.customer,
		target:    target,
		weight:    s.weight(d.customer),
		attrs:     runAttributes{suspect: d.suspect, short: !d.long},
		grantedAt: now,
		deadline:  deadline,
	}
	if d.expiry != 0 {
		r.expiry = time.UnixMilli(d.expiry)
	}
	r.incarnation = out.sessions[d.key.entry]
	s.chargeEstimate(r, d.estimate)
	s.addRun(r)
	s.prefixes.put(d.prefix, target)
	grant := &fleetpb.Grant{Request: d.key.request, Target: target, Number: r.key.grant, Deadline: deadline.UnixMilli()}
	if borrowed != nil {
		grant.Owner, grant.Lender, grant.Loan = borrowed.owner, borrowed.lender, borrowed.number
		s.useBorrowed(borrowed)
	}
	out.addGrant(d.key.entry, s.name, grant)
}

// nextGrantNumber returns the next grant number that no run of the entry router has. Runs that another scheduler granted may
// have any number.
func (s *poolScheduler) nextGrantNumber(entry string) uint64 {
	for {
		*s.lastNumber++
		if _, taken := s.runs[runKey{entry: entry, grant: *s.lastNumber}]; !taken {
			return *s.lastNumber
		}
	}
}
