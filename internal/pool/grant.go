package pool

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// grant gives free slots to waiting requests: the backlogged customer with the lowest counter comes first, and another
// pool with a clearly lower level is lent the slot instead.
func (s *schedule) grant(now time.Time, out *outbox, peers []*peer) {
	if len(s.demands) == 0 || !s.usable(now) {
		return
	}
	waiting := make(order, 0, len(s.backlogs))
	for customer, row := range s.backlogs {
		row.counter = s.ledger.Counter(customer)
		waiting = append(waiting, row)
	}
	heap.Init(&waiting)
	for len(waiting) > 0 && s.usable(now) {
		first := waiting[0]
		if s.lendBehind(now, out, peers, first.counter) {
			continue
		}
		if !s.serve(now, out, first) {
			heap.Pop(&waiting)
			continue
		}
		if first.size() == 0 {
			heap.Pop(&waiting)
			continue
		}
		first.counter = s.ledger.Counter(first.customer)
		heap.Fix(&waiting, 0)
	}
}

// usable reports whether a slot is free that a waiting request may take: extra slots are for short classes only.
func (s *schedule) usable(now time.Time) bool {
	if len(s.borrowed) > 0 {
		return true
	}
	short := s.shorts > 0
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.spare(now, short, s.limited()) > 0 })
}

// serve grants one slot to a customer's first request that can use one.
func (s *schedule) serve(now time.Time, out *outbox, waiting *backlog) bool {
	long := len(s.borrowed) > 0 || slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.spare(now, false, s.limited()) > 0
	})
	served := false
	waiting.each(long, func(d *demand) bool {
		if row := s.choose(now, d); row != nil {
			s.dispatch(now, out, d, row.name, nil)
			served = true
		} else if slot := s.chooseBorrowed(d); slot != nil {
			s.dispatch(now, out, d, slot.target, slot)
			served = true
		}
		return served
	})
	return served
}

// choose returns the target for a request: one that ran its prompt prefix, else the one with the lowest occupancy; nil
// if none has a free slot for it.
func (s *schedule) choose(now time.Time, d *demand) *target {
	cached := s.prefixes.get(d.prefix)
	var best *target
	for _, row := range s.targets {
		if row.spare(now, !d.long, s.limited()) <= 0 || slices.Contains(d.avoid, row.name) || d.apart && row.suspects > 0 {
			continue
		}
		if row.name == cached && row.spare(now, false, s.limited()) > 0 {
			return row
		}
		if best == nil || row.occupied(now)*best.slots < best.occupied(now)*row.slots {
			best = row
		}
	}
	return best
}

// chooseBorrowed returns a borrowed slot for a request, nil if there is none. A suspect gets none, since it is not known
// whether the target runs another one.
func (s *schedule) chooseBorrowed(d *demand) *borrowed {
	if d.apart {
		return nil
	}
	for _, slot := range s.borrowed {
		if !slices.Contains(d.avoid, slot.target) {
			return slot
		}
	}
	return nil
}

// dispatch grants a slot, charges the customer with the estimate and enters the run.
func (s *schedule) dispatch(now time.Time, out *outbox, d *demand, target string, slot *borrowed) {
	s.drop(d.key)
	s.level = max(s.level, s.settled(d.customer))
	deadline := now.Add(s.life)
	if slot != nil {
		deadline = slot.deadline
	}
	r := &run{
		key:      runKey{entry: d.key.entry, grant: s.draw(d.key.entry)},
		request:  d.key.request,
		customer: d.customer,
		target:   target,
		weight:   s.weight(d.customer),
		of:       kind{apart: d.apart, short: !d.long},
		granted:  now,
		deadline: deadline,
	}
	if d.expiry != 0 {
		r.expiry = time.UnixMilli(d.expiry)
	}
	r.incarnation = out.sessions[d.key.entry]
	s.charge(r, d.estimate)
	s.start(r)
	s.prefixes.put(d.prefix, target)
	grant := &fleetpb.Grant{Request: d.key.request, Target: target, Number: r.key.grant, Deadline: deadline.UnixMilli()}
	if slot != nil {
		grant.Owner, grant.Lender, grant.Loan = slot.owner, slot.lender, slot.number
		s.use(slot)
	}
	out.grant(d.key.entry, s.name, grant)
}

// draw returns the next grant number that no run of the entry router has; runs of a former scheduler may have any.
func (s *schedule) draw(entry string) uint64 {
	for {
		*s.number++
		if _, taken := s.runs[runKey{entry: entry, grant: *s.number}]; !taken {
			return *s.number
		}
	}
}
