package measure_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/measure"
)

// plan returns a small plan of all scenarios and policies.
func plan() measure.Plan {
	return measure.Plan{
		Deployments: measure.Deployments()[1:], Scenarios: measure.Scenarios(), Policies: measure.Policies(),
		Seed: 3, Length: 20 * time.Second,
	}
}

// Guards against a result that depends on map order, on the clock, or on the other runs of a plan.
func TestSameSeed(t *testing.T) {
	c := qt.New(t)
	var first, second strings.Builder
	c.Assert(measure.Table(&first, plan().Run()), qt.IsNil)
	c.Assert(measure.Table(&second, plan().Run()), qt.IsNil)
	c.Assert(second.String(), qt.Equals, first.String())
}

// Guards against fakes that lose requests, answer them twice, or run a booking of the product twice, which would make
// the figures of the product meaningless.
func TestConservation(t *testing.T) {
	c := qt.New(t)
	for _, r := range plan().Run() {
		comment := qt.Commentf("%s with %s", r.Scenario, r.Policy)
		refused := 0
		for _, count := range r.Refusals {
			refused += count
		}
		c.Check(r.Answered+refused, qt.Equals, r.Requests, comment)
		c.Check(r.Lost, qt.Equals, 0, comment)
		c.Check(r.Doubled, qt.Equals, 0, comment)
		if r.Policy == "product" {
			c.Check(r.Twice, qt.Equals, 0, comment)
		}
	}
}
