package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// lendToLaggingPool lends one slot to the pool whose customers have the lowest service counter, if that counter is below the
// given one by more than the lending margin. Without such loans, customers of busy pools would fall behind those of less busy
// pools.
// It returns false if no slot was lent.
func (s *poolScheduler) lendToLaggingPool(now time.Time, out *outbox, peers []*peerPool, counter uint64) bool {
	var best *peerPool
	for _, p := range peers {
		if p.lowestCounter == 0 || !p.wantsSlots(now, s.region) || p.lowestCounter+s.lendMargin(p) >= counter {
			continue
		}
		if best == nil || p.lowestCounter < best.lowestCounter {
			best = p
		}
	}
	return best != nil && (s.lendSlot(now, out, best) || s.forwardBorrowed(out, best))
}

// forwardBorrowed lends a borrowed slot on to another pool. A pool gets summaries from some of the other pools only, so a
// lender may lend too many slots to this pool because it does not know a pool that is further behind. It returns false if all
// borrowed slots come from that pool itself.
func (s *poolScheduler) forwardBorrowed(out *outbox, to *peerPool) bool {
	i := slices.IndexFunc(s.borrowed, func(b *borrowedSlots) bool { return b.lender != to.pool })
	if i < 0 {
		return false
	}
	borrowed := s.borrowed[i]
	to.recordLent()
	out.addForwardedSlot(to, borrowed)
	s.useBorrowed(borrowed)
	return true
}

// useBorrowed takes one slot from the borrowed slots.
func (s *poolScheduler) useBorrowed(borrowed *borrowedSlots) {
	borrowed.remaining--
	if borrowed.remaining == 0 {
		s.borrowed = slices.DeleteFunc(s.borrowed, func(b *borrowedSlots) bool { return b == borrowed })
	}
}

// crossRegionMargin is the number of requests by which a pool in another region must be behind before a pool with waiting
// requests lends it a slot. Each such loan costs traffic and two one-way delays between the regions.
const crossRegionMargin = 4

// lendMargin returns by how much another pool must be behind before this pool lends it a slot while its own requests wait, in
// milli-units: the expected service of one request, or of crossRegionMargin requests for a pool in another region.
func (s *poolScheduler) lendMargin(p *peerPool) uint64 {
	if p.region == s.region {
		return p.meanEstimate()
	}
	return crossRegionMargin * p.meanEstimate()
}

// lendIdle lends the slots that are still free after grants, to pools of the same region first.
func (s *poolScheduler) lendIdle(now time.Time, out *outbox, peers []*peerPool) {
	for {
		var best *peerPool
		for _, p := range peers {
			if p.wantsSlots(now, s.region) && (best == nil || s.preferredBorrower(p, best)) {
				best = p
			}
		}
		if best == nil || !s.lendSlot(now, out, best) {
			return
		}
	}
}

// preferredBorrower reports whether pool a gets idle slots before pool b: pools of the same region come first, then those whose
// customers have the lowest service counter.
func (s *poolScheduler) preferredBorrower(a, b *peerPool) bool {
	if sameRegion := a.region == s.region; sameRegion != (b.region == s.region) {
		return sameRegion
	}
	return a.lowestCounter < b.lowestCounter
}

// lendSlot lends one slot of the target with the most free slots. It returns false if no target has a free slot.
func (s *poolScheduler) lendSlot(now time.Time, out *outbox, to *peerPool) bool {
	var best *target
	mostFree := 0
	for _, t := range s.targets {
		if free := t.freeSlots(now, false, s.hasPartialView()); free > mostFree {
			best, mostFree = t, free
		}
	}
	if best == nil {
		return false
	}
	to.recordLent()
	best.addSlot(now, runAttributes{})
	s.recordLoan(now, out.addLentSlot(to, s.name, best.name, now.Add(s.grantTTL), s.lastNumber), best.name)
	return true
}

// recordLoan adds a lent slot to its loan and creates the loan if there is none.
func (s *poolScheduler) recordLoan(now time.Time, number uint64, target string) {
	for _, l := range s.loans {
		if l.number == number && l.target == target {
			l.remaining++
			return
		}
	}
	s.loans = append(s.loans, &loan{number: number, target: target, remaining: 1, grantedAt: now, deadline: now.Add(s.grantTTL)})
}

// takeBackSlot takes back one lent slot whose run has ended or that was not used. If no loan matches, the loan has expired and
// its runs are known from the load report only.
func (s *poolScheduler) takeBackSlot(now time.Time, ended *fleetpb.Ended) {
	t := s.target(ended.GetTarget())
	if t == nil {
		return
	}
	i := slices.IndexFunc(s.loans, func(l *loan) bool {
		return l.number == ended.GetLoan() && l.target == ended.GetTarget()
	})
	if i < 0 {
		if ended.GetOutcome() != fleetpb.Outcome_OUTCOME_UNUSED {
			t.endForeignRun(now)
		}
		return
	}
	s.loans[i].remaining--
	t.releaseSlot(now, s.loans[i].grantedAt, runAttributes{})
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool { return l.remaining == 0 })
}

// expireLoans removes the loans on a target whose deadline is before cutoff. Slots of them that are still in use are known
// from the load report from then on.
func (s *poolScheduler) expireLoans(cutoff time.Time, t *target) {
	loansBefore := len(s.loans)
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool {
		if l.target != t.name || !l.deadline.Before(cutoff) {
			return false
		}
		t.ownSlots -= l.remaining
		return true
	})
	if len(s.loans) < loansBefore {
		s.recountInReport(t)
	}
}

// returnBorrowed returns the borrowed slots that are still unused after grants to their lenders.
func (s *poolScheduler) returnBorrowed(out *outbox) {
	for _, b := range s.borrowed {
		for range b.remaining {
			out.addEnded(b.owner, b.lender, &fleetpb.Ended{
				Loan:    b.number,
				Outcome: fleetpb.Outcome_OUTCOME_UNUSED,
				Target:  b.target,
			})
		}
	}
	s.borrowed = nil
}
