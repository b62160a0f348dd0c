package load

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Plan describes a load. The same plan gives the same calls.
type Plan struct {
	// Rate is the mean number of calls per second.
	Rate float64
	// Duration is the time in which calls begin.
	Duration time.Duration
	// Seed seeds the choice of instants, customers and classes.
	Seed uint64
	// Customers are the customers that call, each as likely as the others.
	Customers []string
	// Classes are the classes of the calls, each as likely as the others.
	Classes []string
	// MaxInFlight bounds the calls that are open at the same time; a call beyond it is skipped and counted.
	MaxInFlight int
}

// Call is one call of a plan.
type Call struct {
	// At is the instant of the call, counted from the start of the load.
	At time.Duration
	// Customer is the customer that calls.
	Customer string
	// Class is the class of the call.
	Class string
}

// Calls returns the calls in the order of their instants; the gaps between them are exponentially distributed, as those
// of many independent callers are.
func (p Plan) Calls() iter.Seq[Call] {
	return func(yield func(Call) bool) {
		random := rand.New(rand.NewPCG(p.Seed, 0))
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
			if at >= p.Duration {
				return
			}
			call := Call{At: at, Customer: pick(random, p.Customers), Class: pick(random, p.Classes)}
			if !yield(call) {
				return
			}
		}
	}
}

// pick returns one of the names, empty if there are none.
func pick(random *rand.Rand, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[random.IntN(len(names))]
}
