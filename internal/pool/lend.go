package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// lendBehind lends one slot to the pool with the lowest level if that level is below a customer's counter by more than
// one request, so that customers of busy pools do not fall behind those of less busy ones.
func (s *schedule) lendBehind(now time.Time, out *outbox, peers []*peer, counter uint64) bool {
	var best *peer
	for _, p := range peers {
		if p.level == 0 || !p.wants(now, s.region) || p.level+s.margin(p) >= counter {
			continue
		}
		if best == nil || p.level < best.level {
			best = p
		}
	}
	return best != nil && (s.lend(now, out, best) || s.forward(out, best))
}

// forward passes a borrowed slot on. Pools get the summaries of some others only, so that a pool may be lent more slots
// than its customers' share while a pool that is further behind is not known to the lender.
func (s *schedule) forward(out *outbox, to *peer) bool {
	at := slices.IndexFunc(s.borrowed, func(b *borrowed) bool { return b.lender != to.pool })
	if at < 0 {
		return false
	}
	slot := s.borrowed[at]
	to.lend()
	out.forward(to, slot)
	s.use(slot)
	return true
}

// use takes one slot out of a loan.
func (s *schedule) use(slot *borrowed) {
	slot.left--
	if slot.left == 0 {
		s.borrowed = slices.DeleteFunc(s.borrowed, func(b *borrowed) bool { return b == slot })
	}
}

// farMargin is the number of requests by which a pool in another region must be behind before it is lent a slot of a
// backlogged pool, because each loan costs traffic and two passages between the regions.
const farMargin = 4

// margin returns by how much a pool must be behind before it is lent a slot of a backlogged pool.
func (s *schedule) margin(p *peer) uint64 {
	if p.region == s.region {
		return p.mean()
	}
	return farMargin * p.mean()
}

// lendIdle lends the slots that were left after grants, to pools of the same region first.
func (s *schedule) lendIdle(now time.Time, out *outbox, peers []*peer) {
	for {
		var best *peer
		for _, p := range peers {
			if p.wants(now, s.region) && (best == nil || s.before(p, best)) {
				best = p
			}
		}
		if best == nil || !s.lend(now, out, best) {
			return
		}
	}
}

// before orders pools that want slots: those of the same region first, then the one with the lowest level.
func (s *schedule) before(a, b *peer) bool {
	if near := a.region == s.region; near != (b.region == s.region) {
		return near
	}
	return a.level < b.level
}

// lend lends one slot of the target with the most free ones.
func (s *schedule) lend(now time.Time, out *outbox, to *peer) bool {
	var best *target
	free := 0
	for _, row := range s.targets {
		if spare := row.spare(now, false, s.limited()); spare > free {
			best, free = row, spare
		}
	}
	if best == nil {
		return false
	}
	to.lend()
	best.add(now, kind{})
	s.enter(now, out.lend(to, s.name, best.name, now.Add(s.life), s.number), best.name)
	return true
}

// enter counts a lent slot in the table of loans.
func (s *schedule) enter(now time.Time, number uint64, target string) {
	for _, l := range s.loans {
		if l.number == number && l.target == target {
			l.left++
			return
		}
	}
	s.loans = append(s.loans, &loan{number: number, target: target, left: 1, granted: now, deadline: now.Add(s.life)})
}

// returned takes back one lent slot whose run has ended or that was not used. An end that no loan covers belongs to a
// loan past its deadline, whose runs only the load report shows.
func (s *schedule) returned(now time.Time, ended *fleetpb.Ended) {
	row := s.target(ended.GetTarget())
	if row == nil {
		return
	}
	at := slices.IndexFunc(s.loans, func(l *loan) bool {
		return l.number == ended.GetLoan() && l.target == ended.GetTarget()
	})
	if at < 0 {
		if ended.GetOutcome() != fleetpb.Outcome_OUTCOME_UNUSED {
			row.removeForeign(now)
		}
		return
	}
	s.loans[at].left--
	row.remove(now, s.loans[at].granted, kind{})
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool { return l.left == 0 })
}

// settle takes back the loans on a target whose deadline lies before an instant. If their slots are in use, the load
// report shows it from now on.
func (s *schedule) settle(before time.Time, row *target) {
	kept := len(s.loans)
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool {
		if l.target != row.name || !l.deadline.Before(before) {
			return false
		}
		row.own -= l.left
		return true
	})
	if len(s.loans) < kept {
		s.recount(row)
	}
}

// giveBack returns the borrowed slots that were left after grants.
func (s *schedule) giveBack(out *outbox) {
	for _, b := range s.borrowed {
		for range b.left {
			out.finish(b.owner, b.lender, &fleetpb.Ended{
				Loan:    b.number,
				Outcome: fleetpb.Outcome_OUTCOME_UNUSED,
				Target:  b.target,
			})
		}
	}
	s.borrowed = nil
}
