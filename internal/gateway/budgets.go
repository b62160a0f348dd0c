package gateway

import (
	"sync"

	"github.com/chicorydale/chicorydale/internal/budget"
)

const (
	// budgetPart is the part of the fleet's ratio of repeats that this router uses. The rest covers requests that are
	// counted late or twice.
	budgetPart = 0.75
	// budgetRouters is the number of routers among which the fleet's reserve is divided.
	budgetRouters = 16
	// leastReserve lets a router send a single repeat however large the fleet is.
	leastReserve = 1.5
)

// budgets limit the repeats of each service. The parts of all routers together stay within the fleet's budget.
type budgets struct {
	ratio, reserve float64

	mu       sync.Mutex
	services map[string]*budget.Budget
}

// newBudgets returns this router's part of the fleet's budget.
func newBudgets(ratio, reserve float64) *budgets {
	return &budgets{
		ratio:    ratio * budgetPart,
		reserve:  max(reserve/budgetRouters, leastReserve),
		services: make(map[string]*budget.Budget),
	}
}

// first counts a request for a service.
func (b *budgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(service).RecordFirstAttempt()
}

// repeat takes a repeat out of a service's budget; it reports whether there was one.
func (b *budgets) repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).TryRetry()
}

// service returns the budget of a service.
func (b *budgets) service(name string) *budget.Budget {
	found, ok := b.services[name]
	if !ok {
		found = budget.New(b.ratio, b.reserve)
		b.services[name] = found
	}
	return found
}
