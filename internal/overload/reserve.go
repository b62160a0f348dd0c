package overload

import "time"

const (
	// reservedFraction is the part of the router's processor time that connections get however late the process is.
	reservedFraction = 0.35
	// evenFraction is the part of the reserve that is divided evenly among customers. The rest goes to whoever comes first.
	evenFraction = 0.75
	// maxReserveTime limits the credit that is not used, by the time in which it is earned.
	maxReserveTime = 250 * time.Millisecond
	// refillPeriod is the time between additions to the credit.
	refillPeriod = 5 * time.Millisecond
	// activePeriod is the time after its last connection for which a customer gets its part. It is longer than refused callers stay away.
	activePeriod = 2 * time.Second
)

// reserve is the processor time that new connections get from a late router. Without it, a router that is late because it refuses
// connections would refuse all of them. A part is divided evenly among customers, so that many connections of one of them leave room for the
// few of another.
type reserve struct {
	// rate is the part of a core that is earned.
	rate float64
	// shared is the credit for connections of all customers.
	shared     time.Duration
	customers  map[string]*customerReserve
	refilledAt time.Time
}

// customerReserve is the part of a customer that has lately opened connections.
type customerReserve struct {
	credit      time.Duration
	activeUntil time.Time
}

// newReserve returns the reserve of a router that may use a part of a core.
func newReserve(share float64) *reserve {
	return &reserve{rate: share * reservedFraction, customers: make(map[string]*customerReserve)}
}

// take reports whether there is credit for a connection of a customer that costs some processor time, and uses it. The credit may become
// negative, since one connection may cost more than the whole reserve of a small router.
func (r *reserve) take(now time.Time, customer string, cost time.Duration) bool {
	own, found := r.customers[customer]
	if !found {
		own = new(customerReserve)
		r.customers[customer] = own
	}
	own.activeUntil = now.Add(activePeriod)
	r.refill(now)
	switch {
	case own.credit > 0:
		own.credit -= cost
	case r.shared > 0:
		r.shared -= cost
	default:
		return false
	}
	return true
}

// refill adds the credit for the time since the last call.
func (r *reserve) refill(now time.Time) {
	elapsed := now.Sub(r.refilledAt)
	if elapsed < refillPeriod {
		return
	}
	r.refilledAt = now
	r.removeInactive(now)
	earned := r.earnedIn(min(elapsed, maxReserveTime))
	evenly := time.Duration(evenFraction * float64(earned))
	limit := r.earnedIn(maxReserveTime)
	maxOwn := time.Duration(evenFraction * float64(limit))
	r.shared += earned - evenly
	for _, own := range r.customers {
		own.credit += evenly / time.Duration(len(r.customers))
		unused := max(own.credit-maxOwn, 0)
		own.credit -= unused
		r.shared += unused
	}
	r.shared = min(r.shared, limit)
}

// earnedIn returns the processor time that is earned in a time.
func (r *reserve) earnedIn(elapsed time.Duration) time.Duration {
	return time.Duration(r.rate * float64(elapsed))
}

// removeInactive removes the customers without new connections.
func (r *reserve) removeInactive(now time.Time) {
	for customer, own := range r.customers {
		if now.After(own.activeUntil) {
			delete(r.customers, customer)
		}
	}
}
