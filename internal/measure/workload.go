package measure

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
)

// boot is the time before the first arrival, in which the routers connect and read their configuration.
const boot = 3 * time.Second

// workload returns the arrivals of a run in order; all policies get the same ones.
func workload(d Deployment, s Scenario, seed uint64, length time.Duration) []*job {
	random := rand.New(rand.NewPCG(seed, 1))
	perSecond := float64(zones*d.Engines*slots) / slotSeconds()
	small := d.Customers - 1
	var jobs []*job
	add := func(rate float64, draft func() *job) {
		if rate <= 0 {
			return
		}
		for at := 0.0; ; {
			at += random.ExpFloat64() / rate
			if at >= length.Seconds() {
				return
			}
			j := draft()
			j.arrival = boot + time.Duration(at*float64(time.Second))
			jobs = append(jobs, j)
		}
	}
	modelCall := func(customer int) *job {
		j := &job{customer: customer, class: pickClass(random), router: random.IntN(zones * d.Routers)}
		if s.Pinned && customer < d.Large {
			j.router = customer
		}
		j.prompt = draw(random, j.class.prompt, 0.5)
		j.tokens = min(draw(random, j.class.mean, j.class.spread), j.class.most)
		if random.IntN(2) == 0 {
			j.hint = j.tokens + random.IntN(3*j.tokens+1)
		}
		return j
	}
	add(perSecond*s.Load, func() *job { return modelCall(d.pick(random, s.Large)) })
	add(perSecond*s.Flood, func() *job { return modelCall(small) })
	add(s.Lookups, func() *job {
		return &job{customer: random.IntN(d.Customers), router: random.IntN(zones * d.Routers), service: true, class: class{name: lookup}}
	})
	add(s.Bookings, func() *job {
		return &job{customer: random.IntN(d.Customers), router: random.IntN(zones * d.Routers), service: true, class: class{name: booking}}
	})
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, j := range jobs {
		j.id = i
		if j.class.name == booking {
			j.key = newKey(start.Add(j.arrival), uint64(i))
		}
	}
	return jobs
}

// pick draws a customer: a large one for the given part of the demand, and else a small one other than the last, which
// is the one that floods.
func (d Deployment) pick(random *rand.Rand, large float64) int {
	if random.Float64() < large {
		return random.IntN(d.Large)
	}
	return d.Large + random.IntN(d.Customers-d.Large-1)
}

// newKey returns an idempotency key: a UUID of version 7 made at an instant.
func newKey(at time.Time, number uint64) string {
	var key uuid.UUID
	binary.BigEndian.PutUint64(key[:], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], number)
	key[6] = 0x70
	key[8] = 0x80
	return key.String()
}
