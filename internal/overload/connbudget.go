package overload

import (
	"maps"
	"slices"
	"time"
)

const (
	// initialFraction, minFraction and maxFraction set the processor time per second that new connections may cost, as fractions of the router's
	// own, at the start and at least and at most. The estimated costs may be too high, so the budget may exceed what the router has.
	initialFraction, minFraction, maxFraction = 1.0, 0.45, 4.0
	// adaptPeriod is the time between changes of the budget. It is multiplied by growth if a router on time has spent it or has less than the initial
	// one, and by decline if a router is late.
	adaptPeriod = 50 * time.Millisecond
	growth      = 1.05
	decline     = 0.97
	// evenFraction is the part of the budget that is divided evenly among the customers far below their shares, or among all if there are none.
	// The rest goes to whoever comes first.
	evenFraction = 0.75
	// maxUnspent limits the credit that is not used, and maxOverdraft what may be spent beyond it, by the time in which it is earned.
	maxUnspent   = 250 * time.Millisecond
	maxOverdraft = 250 * time.Millisecond
	// refillPeriod is the time between additions to the credit.
	refillPeriod = 5 * time.Millisecond
	// activePeriod is the time after its last connection for which a customer gets its part. It is longer than refused callers stay away.
	activePeriod = 2 * time.Second
)

// connBudget is the processor time that new connections may cost a router. It follows the lateness of the process, since the costs are estimates. A
// part is divided evenly among customers while connections are refused, so that many connections of one of them leave room for the few of another,
// and first among those that get far less than their share of the fleet.
type connBudget struct {
	// share is the part of a core that the router may use, rate the part of a core that is earned now.
	share, rate float64
	// shared is the credit for connections of all customers. It is negative if more was spent.
	shared     time.Duration
	customers  map[string]*customerBudget
	refilledAt time.Time
	adaptedAt  time.Time
	// wasSpent is set if the budget was spent since the last change.
	wasSpent bool
}

// customerBudget is the part of a customer that has lately opened connections.
type customerBudget struct {
	credit      time.Duration
	standing    Standing
	activeUntil time.Time
}

// newConnBudget returns the budget of a router that may use a part of a core.
func newConnBudget(share float64) *connBudget {
	return &connBudget{share: share, rate: share * initialFraction, customers: make(map[string]*customerBudget)}
}

// adapt changes the budget by the lateness of the process.
func (b *connBudget) adapt(now time.Time, lateness time.Duration) {
	if now.Sub(b.adaptedAt) < adaptPeriod {
		return
	}
	b.adaptedAt = now
	switch {
	case lateness > maxLateness:
		b.rate = max(b.rate*decline, b.share*minFraction)
	case lateness < minRefusalLateness && (b.wasSpent || b.rate < b.share*initialFraction):
		b.rate = min(b.rate*growth, b.share*maxFraction)
	}
	b.wasSpent = false
}

// isOverdrawn reports whether connections have begun that cost far more than the budget.
func (b *connBudget) isOverdrawn(now time.Time) bool {
	b.refill(now)
	overdrawn := b.shared < -b.earnedIn(maxOverdraft)
	b.wasSpent = b.wasSpent || overdrawn
	return overdrawn
}

// spend uses credit for a connection of any customer.
func (b *connBudget) spend(now time.Time, cost time.Duration) {
	b.refill(now)
	b.shared -= cost
}

// take reports whether there is credit for a connection of a customer that costs some processor time, and uses it. The credit may become
// negative, since one connection may cost more than the whole budget of a small router.
func (b *connBudget) take(now time.Time, customer string, standing Standing, cost time.Duration) bool {
	own, found := b.customers[customer]
	if !found {
		own = new(customerBudget)
		b.customers[customer] = own
	}
	own.activeUntil, own.standing = now.Add(activePeriod), standing
	b.refill(now)
	switch {
	case own.credit > 0:
		own.credit -= cost
	case b.shared > 0:
		b.shared -= cost
	default:
		b.wasSpent = true
		return false
	}
	return true
}

// refill adds the credit for the time since the last call.
func (b *connBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed < refillPeriod {
		return
	}
	b.refilledAt = now
	b.removeInactive(now)
	earned := b.earnedIn(min(elapsed, maxUnspent))
	entitled := b.entitled()
	evenly := time.Duration(0)
	if len(entitled) > 0 {
		evenly = time.Duration(evenFraction * float64(earned))
	}
	limit := b.earnedIn(maxUnspent)
	maxOwn := time.Duration(evenFraction * float64(limit))
	b.shared += earned - evenly
	for _, own := range entitled {
		own.credit += evenly / time.Duration(len(entitled))
		unused := max(own.credit-maxOwn, 0)
		own.credit -= unused
		b.shared += unused
	}
	b.shared = min(b.shared, limit)
}

// entitled returns the active customers far below their shares, or all active ones if there are none.
func (b *connBudget) entitled() []*customerBudget {
	all := slices.Collect(maps.Values(b.customers))
	below := slices.DeleteFunc(slices.Clone(all), func(own *customerBudget) bool { return own.standing != BelowShare })
	if len(below) > 0 {
		return below
	}
	return all
}

// earnedIn returns the processor time that is earned in a time.
func (b *connBudget) earnedIn(elapsed time.Duration) time.Duration {
	return time.Duration(b.rate * float64(elapsed))
}

// removeInactive removes the customers without new connections.
func (b *connBudget) removeInactive(now time.Time) {
	for customer, own := range b.customers {
		if now.After(own.activeUntil) {
			delete(b.customers, customer)
		}
	}
}
