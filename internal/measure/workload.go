package measure

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
)

// startupTime is the time before the first arrival, in which the routers connect and read their configuration.
const startupTime = 3 * time.Second

// generateJobs returns the jobs of a simulation in the order of their arrival. They depend on the arguments only, so all
// policies get the same ones.
func generateJobs(d Deployment, s Scenario, seed uint64, duration time.Duration) []*job {
	random := rand.New(rand.NewPCG(seed, 1))
	callsPerSecond := float64(zoneCount*d.EnginesPerZone*slotsPerEngine) / meanSlotSeconds()
	floodingCustomer := d.Customers - 1
	var jobs []*job
	addArrivals := func(rate float64, newJob func() *job) {
		if rate <= 0 {
			return
		}
		for at := 0.0; ; {
			at += random.ExpFloat64() / rate
			if at >= duration.Seconds() {
				return
			}
			j := newJob()
			j.arrival = startupTime + time.Duration(at*float64(time.Second))
			jobs = append(jobs, j)
		}
	}
	modelCall := func(customer int) *job {
		j := &job{customer: customer, class: pickClass(random), router: random.IntN(zoneCount * d.RoutersPerZone)}
		if s.PinLargeCustomers && customer < d.LargeCustomers {
			j.router = customer
		}
		j.promptTokens = drawLogNormal(random, j.class.meanPromptTokens, 0.5)
		j.outputTokens = min(drawLogNormal(random, j.class.meanTokens, j.class.tokenSigma), j.class.maxTokens)
		if random.IntN(2) == 0 {
			j.maxTokens = j.outputTokens + random.IntN(3*j.outputTokens+1)
		}
		return j
	}
	addArrivals(callsPerSecond*s.Load, func() *job { return modelCall(d.pickCustomer(random, s.LargeShare)) })
	addArrivals(callsPerSecond*s.FloodLoad, func() *job { return modelCall(floodingCustomer) })
	addArrivals(s.LookupsPerSecond, func() *job {
		return &job{
			customer: random.IntN(d.Customers), router: random.IntN(zoneCount * d.RoutersPerZone),
			isService: true, class: class{name: lookupClass},
		}
	})
	addArrivals(s.BookingsPerSecond, func() *job {
		return &job{
			customer: random.IntN(d.Customers), router: random.IntN(zoneCount * d.RoutersPerZone),
			isService: true, class: class{name: bookingClass},
		}
	})
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, j := range jobs {
		j.id = i
		if j.class.name == bookingClass {
			j.idempotencyKey = newIdempotencyKey(simulationStart.Add(j.arrival), uint64(i))
		}
	}
	return jobs
}

// pickCustomer draws a customer: a large one with probability largeShare, otherwise a small one other than the last,
// which is the one that floods.
func (d Deployment) pickCustomer(random *rand.Rand, largeShare float64) int {
	if random.Float64() < largeShare {
		return random.IntN(d.LargeCustomers)
	}
	return d.LargeCustomers + random.IntN(d.Customers-d.LargeCustomers-1)
}

// newIdempotencyKey returns a UUID of version 7 for an instant. Its low bits are the given number.
func newIdempotencyKey(at time.Time, number uint64) string {
	var key uuid.UUID
	binary.BigEndian.PutUint64(key[:], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], number)
	key[6] = 0x70
	key[8] = 0x80
	return key.String()
}
