package measure_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/measure"
)

// smallPlan returns a plan of all scenarios and policies for one deployment.
func smallPlan() measure.Plan {
	return measure.Plan{
		Deployments: measure.Deployments()[1:], Scenarios: measure.Scenarios(), Policies: measure.Policies(),
		Seed: 3, LoadDuration: 12 * time.Second,
	}
}

// Guards against a result that depends on map iteration order, on the clock, or on the other simulations of a plan.
func TestSameSeed(t *testing.T) {
	c := qt.New(t)
	repeated := smallPlan()
	repeated.Scenarios = slices.DeleteFunc(repeated.Scenarios, func(s measure.Scenario) bool {
		return s.Name != "killed" && s.Name != "cut"
	})
	var first, second strings.Builder
	c.Assert(measure.Table(&first, repeated.Run()), qt.IsNil)
	c.Assert(measure.Table(&second, repeated.Run()), qt.IsNil)
	c.Assert(second.String(), qt.Equals, first.String())
}

// Guards against fakes that lose requests or answer them twice, and against a booking that runs twice under the product
// policy. The figures of the table would mean nothing then.
func TestConservation(t *testing.T) {
	c := qt.New(t)
	for _, r := range smallPlan().Run() {
		comment := qt.Commentf("%s with %s", r.Scenario, r.Policy)
		refused := 0
		for _, count := range r.Refusals {
			refused += count
		}
		c.Check(r.Answered+refused, qt.Equals, r.Requests, comment)
		c.Check(r.Lost, qt.Equals, 0, comment)
		c.Check(r.DuplicateEnds, qt.Equals, 0, comment)
		if r.Policy == "product" {
			c.Check(r.RepeatedBookings, qt.Equals, 0, comment)
		}
	}
}

// Guards against a gap that includes service from before both customers were backlogged, misses an interval in the middle
// of a backlog, or treats two backlogs with a pause between them as one.
func TestGap(t *testing.T) {
	c := qt.New(t)
	served := [][]float64{{100, 0}, {110, 0}, {110, 15}, {115, 45}, {135, 45}, {150, 50}, {151, 58}, {151, 61}}
	both, one := []bool{true, true}, []bool{true, false}
	// The difference is 100, 110, 95, 70, 90, 100, 93, 90. In one backlog the widest interval is from 110 to 70.
	always := [][]bool{both, both, both, both, both, both, both, both}
	c.Check(measure.WidestGap(served, always), qt.Equals, 40.0)
	// With a pause at the third sample the widest interval is from 70 to 100.
	paused := [][]bool{both, both, one, both, both, both, both, both}
	c.Check(measure.WidestGap(served, paused), qt.Equals, 30.0)
	c.Check(measure.WidestGap(served, [][]bool{one, one, one, one, one, one, one, one}), qt.Equals, 0.0)
}
