package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// TestCustomerStatusExplainsRefusals guards against refusals that operators cannot compare with the usage and the share that
// the router believed in.
func TestCustomerStatusExplainsRefusals(t *testing.T) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(1, 2))
	now := startTime
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		d.Submit(now, newRequest(now, "flood", 9))
	}
	served := d.Submit(now, newRequest(now, "desk", 9))
	refused := 0
	for _, decision := range d.TakeDecisions() {
		if decision.Refusal != nil && decision.ID != served {
			refused++
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	statuses := d.TakeCustomerStatuses(now, 8)
	qt.Assert(t, statuses, qt.HasLen, 1)
	qt.Check(t, statuses[0].Customer, qt.Equals, "flood")
	qt.Check(t, statuses[0].Service, qt.Equals, "m")
	qt.Check(t, statuses[0].Refusals, qt.Equals, refused)
	qt.Check(t, statuses[0].AskedTokens, qt.Equals, 6*5200)
	qt.Check(t, statuses[0].StartedTokens > 0 && statuses[0].StartedTokens < 6*5200, qt.IsTrue)
	qt.Check(t, statuses[0].Usage > 0, qt.IsTrue)
	qt.Check(t, statuses[0].Demand > statuses[0].Usage, qt.IsTrue)
	qt.Check(t, statuses[0].FairShare > 0, qt.IsTrue)
	qt.Check(t, d.TakeCustomerStatuses(now, 8), qt.HasLen, 0)
}
