package measure

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Plan names the runs of one table.
type Plan struct {
	// Deployments, Scenarios and Policies are combined with each other.
	Deployments []Deployment
	Scenarios   []Scenario
	Policies    []string
	// Seed fixes the load.
	Seed uint64
	// Length is the virtual time in which requests arrive.
	Length time.Duration
}

// Run runs all combinations, several at a time, and returns their results in order.
func (p Plan) Run() []Result {
	results := make([]Result, len(p.Deployments)*len(p.Scenarios)*len(p.Policies))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	at := 0
	for _, d := range p.Deployments {
		for _, s := range p.Scenarios {
			for _, policy := range p.Policies {
				slot := &results[at]
				at++
				group.Go(func() error {
					w := newWorld(d, s, policy, p.Seed, p.Length)
					w.run()
					*slot = w.result(policy, p.Seed)
					return nil
				})
			}
		}
	}
	_ = group.Wait() // No run returns an error.
	return results
}
