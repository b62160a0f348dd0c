package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// TestLongCallsNextToShortFlood guards against a customer whose short calls keep the extra slots of a target busy, so
// that a freed slot leaves the target at its batch size and the long call of another customer never gets it.
func TestLongCallsNextToShortFlood(t *testing.T) {
	s := newSingle(1, 0)
	s.SetWeights(s.now, map[uint32]uint32{1: 1, 2: 1})
	short := func(d *fleetpb.Demand) { d.Long = false }
	s.announce(1, 200, short)
	grants, _ := s.tick(10 * time.Millisecond)
	qt.Assert(t, len(grants) > slots, qt.IsTrue)
	s.announce(1000, 1, func(d *fleetpb.Demand) { d.Customer = 2 })
	granted := false
	for range 3 * slots {
		s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
		grants = grants[1:]
		next, _ := s.tick(10 * time.Millisecond)
		for _, grant := range next {
			granted = granted || grant.GetRequest() == 1000
		}
		grants = append(grants, next...)
		qt.Assert(t, len(grants) <= slots+max(1, slots/8), qt.IsTrue)
	}
	qt.Assert(t, granted, qt.IsTrue)
}

// TestEndOfFormerLoan guards against the end of a run on a slot of a former loan that gives back a slot of a newer one,
// which would be granted twice.
func TestEndOfFormerLoan(t *testing.T) {
	s := newSingle(1, 0)
	s.Connected(s.now, "borrower", 1)
	summary := &fleetpb.Summary{Pool: "y/drafts/0", Waiting: 100, Backlog: 100000}
	s.Receive(s.now, "borrower", &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: summary}})
	_, lends := s.tick(0)
	qt.Assert(t, lends, qt.HasLen, 1)
	s.announce(1, 3*slots, nil)
	for range slots {
		s.finish(&fleetpb.Ended{Loan: lends[0].GetNumber() + 1, Target: "t0", Outcome: fleetpb.Outcome_OUTCOME_DONE})
	}
	grants, _ := s.tick(10 * time.Millisecond)
	qt.Assert(t, grants, qt.HasLen, 0)
	s.finish(&fleetpb.Ended{Loan: lends[0].GetNumber(), Target: "t0", Outcome: fleetpb.Outcome_OUTCOME_DONE})
	grants, _ = s.tick(10 * time.Millisecond)
	qt.Assert(t, grants, qt.HasLen, 1)
}
