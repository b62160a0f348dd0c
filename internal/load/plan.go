package load

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Plan describes the calls of a load test. Equal plans yield the same calls.
type Plan struct {
	// Rate is the mean number of calls per second.
	Rate float64
	// Duration is the period in which calls start.
	Duration time.Duration
	// Seed seeds the random start times, customers and classes.
	Seed uint64
	// Customers are the customers that make the calls. Each call picks one with equal probability.
	Customers []string
	// Classes are the request classes of the calls. Each call picks one with equal probability.
	Classes []string
	// MaxInFlight limits the calls in flight, with a minimum of 1. A call beyond the limit is not sent; it is counted
	// as skipped.
	MaxInFlight int
}

// Call is one scheduled call of a plan.
type Call struct {
	// StartOffset is the scheduled start of the call, relative to the start of the load.
	StartOffset time.Duration
	// Customer is the customer that makes the call, empty if the plan has no customers.
	Customer string
	// Class is the request class of the call, empty if the plan has no classes.
	Class string
}

// Calls returns the calls in order of their start. The times between them are exponentially distributed (a Poisson
// process), as with many independent callers.
func (p Plan) Calls() iter.Seq[Call] {
	return func(yield func(Call) bool) {
		random := rand.New(rand.NewPCG(p.Seed, 0))
		offset := time.Duration(0)
		for {
			offset += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
			if offset >= p.Duration {
				return
			}
			call := Call{StartOffset: offset, Customer: randomName(random, p.Customers), Class: randomName(random, p.Classes)}
			if !yield(call) {
				return
			}
		}
	}
}

// randomName returns a random element of names, or "" if names is empty.
func randomName(random *rand.Rand, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[random.IntN(len(names))]
}
