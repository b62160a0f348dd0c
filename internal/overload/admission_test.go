package overload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// TestLateRouterServesCustomersByShare guards against a late router that spends its time on a customer which has its share of the fleet, or as much on
// one that has about its share as on one that gets far less.
func TestLateRouterServesCustomersByShare(t *testing.T) {
	const lateness, cost, seconds = 100 * time.Millisecond, time.Millisecond, 5
	customers := map[string]overload.Standing{
		"above": overload.AboveShare, "within": overload.WithinShare, "below": overload.BelowShare,
	}
	begun := make(map[string]int)
	admission := overload.NewAdmission(0.2)
	for at := startTime; at.Sub(startTime) < seconds*time.Second; at = at.Add(time.Millisecond) {
		qt.Assert(t, admission.MayRefuse(at, lateness), qt.IsTrue)
		for customer, standing := range customers {
			if !admission.ShouldRefuse(at, customer, standing, cost) {
				begun[customer]++
			}
		}
	}
	qt.Check(t, begun["above"], qt.Equals, 0)
	qt.Check(t, begun["within"] > 0, qt.IsTrue, qt.Commentf("%v", begun))
	qt.Check(t, begun["below"] >= 2*begun["within"], qt.IsTrue, qt.Commentf("%v", begun))
}

// TestRouterOnTimeIsNotOverdrawn guards against a router that begins in one second what takes it many, since each connection costs most of its time
// later and the process is on time meanwhile.
func TestRouterOnTimeIsNotOverdrawn(t *testing.T) {
	const share, cost, offered = 0.2, time.Millisecond, 1000
	admission := overload.NewAdmission(share)
	begun := 0
	for i := range offered {
		at := startTime.Add(time.Duration(i) * time.Second / offered)
		if !admission.MayRefuse(at, 0) {
			admission.Begin(at, cost)
			begun++
		} else if !admission.ShouldRefuse(at, "crowd", overload.WithinShare, cost) {
			begun++
		}
	}
	qt.Check(t, begun < offered/2 && begun > offered/5, qt.IsTrue, qt.Commentf("%d", begun))
}
