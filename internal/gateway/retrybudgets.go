package gateway

import (
	"sync"

	"github.com/chicorydale/chicorydale/internal/retrybudget"
)

const (
	// retryRatioFraction is the fraction of the fleet's retry ratio that this router uses. The rest covers requests that
	// are counted late or twice.
	retryRatioFraction = 0.75
	// minReserveDivisor is the minimum number of routers among which the fleet's reserve of retries is divided. A router that has just
	// started does not know how many there are.
	minReserveDivisor = 16
	// minReserve is the minimum reserve of a router. It allows a single retry, however small the fleet's reserve is.
	minReserve = 1.5
)

// retryBudgets limits the retries per service, so that all routers together stay within the fleet's retry budget. It is
// safe for concurrent use.
type retryBudgets struct {
	ratio, fleetReserve float64

	mu sync.Mutex
	// reserve is this router's part of fleetReserve.
	reserve   float64
	byService map[string]*retrybudget.Budget
}

// newRetryBudgets returns this router's part of the fleet's retry budget. The ratio is the number of retries per request,
// the reserve the number of retries beyond the ratio.
func newRetryBudgets(ratio, reserve float64) *retryBudgets {
	budgets := &retryBudgets{
		ratio: ratio * retryRatioFraction, fleetReserve: reserve, byService: make(map[string]*retrybudget.Budget),
	}
	budgets.setRouterCount(1)
	return budgets
}

// setRouterCount divides the fleet's reserve among a number of routers.
func (b *retryBudgets) setRouterCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = max(b.fleetReserve/float64(max(count, minReserveDivisor)), minReserve)
	for _, known := range b.byService {
		known.SetReserve(b.reserve)
	}
}

// recordRequest counts a request for a service, which adds to the service's budget.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordFirstAttempt()
}

// takeRetry takes one retry from a service's budget. It returns false if the budget is used up.
func (b *retryBudgets) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).TryRetry()
}

// budget returns the budget of a service and creates it if necessary. The caller must hold b.mu.
func (b *retryBudgets) budget(name string) *retrybudget.Budget {
	found, ok := b.byService[name]
	if !ok {
		found = retrybudget.New(b.ratio, b.reserve)
		b.byService[name] = found
	}
	return found
}
