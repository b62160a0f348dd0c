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
	s.Configure(s.now, map[uint32]uint32{1: 1, 2: 1})
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
