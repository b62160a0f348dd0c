package measure

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Plan describes the simulations of one table.
type Plan struct {
	// Deployments, Scenarios and Policies are combined with each other.
	Deployments []Deployment
	Scenarios   []Scenario
	Policies    []string
	// Seed fixes the load.
	Seed uint64
	// LoadDuration is the virtual time during which requests arrive.
	LoadDuration time.Duration
}

// Run runs all combinations, as many at a time as there are processors, and returns their results in the order of
// deployment, scenario and policy.
func (p Plan) Run() []Result {
	results := make([]Result, len(p.Deployments)*len(p.Scenarios)*len(p.Policies))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	index := 0
	for _, d := range p.Deployments {
		for _, s := range p.Scenarios {
			for _, policy := range p.Policies {
				result := &results[index]
				index++
				group.Go(func() error {
					sim := newSimulation(d, s, policy, p.Seed, p.LoadDuration)
					sim.run()
					*result = sim.result(policy, p.Seed)
					return nil
				})
			}
		}
	}
	_ = group.Wait() // No run returns an error.
	return results
}
