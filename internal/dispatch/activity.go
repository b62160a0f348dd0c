package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// activity is what one customer's requests did at this router since the last report.
type activity struct {
	// askedTokens and startedTokens are the costs of the new requests and of those that were given a target.
	askedTokens, startedTokens float64
	refusals                   int
}

// CustomerStatus is the activity of one customer at one service and what the router believes of its share. Tokens are in the
// units of the fair share: a prompt token counts once, an output token twice.
type CustomerStatus struct {
	// Service and Customer are names.
	Service, Customer string
	// AskedTokens is the cost of the customer's new requests at this router since the last report, StartedTokens the cost of
	// those that were given a target, and Refusals the number of refused requests.
	AskedTokens, StartedTokens, Refusals int
	// Usage and Demand are the customer's recent usage and demand at all routers, as far as known. FairShare is the max-min
	// fair share of the service.
	Usage, Demand, FairShare int
}

// activityOf returns the activity of a customer for changes.
func (s *service) activityOf(customer string) *activity {
	found, ok := s.activities[customer]
	if !ok {
		found = &activity{}
		s.activities[customer] = found
	}
	return found
}

// TakeCustomerStatuses returns at most limit customers with refused requests since the last call, those with the most refusals
// first.
func (d *Dispatcher) TakeCustomerStatuses(now time.Time, limit int) []CustomerStatus {
	var statuses []CustomerStatus
	for _, s := range d.services {
		for customer, done := range s.activities {
			if done.refusals > 0 {
				statuses = append(statuses, d.customerStatus(now, s, customer, done))
			}
		}
		clear(s.activities)
	}
	slices.SortFunc(statuses, func(a, b CustomerStatus) int {
		return cmp.Or(cmp.Compare(b.Refusals, a.Refusals), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	return statuses[:min(limit, len(statuses))]
}

// customerStatus returns the status of one customer.
func (d *Dispatcher) customerStatus(now time.Time, s *service, customer string, done *activity) CustomerStatus {
	acct := d.accounts.getOrCreate(s.nameHash, accountKey(s, customer))
	return CustomerStatus{
		Service: s.name, Customer: customer,
		AskedTokens: int(done.askedTokens), StartedTokens: int(done.startedTokens), Refusals: done.refusals,
		Usage: int(acct.fleetUsage(now)), Demand: int(acct.fleetDemand(now)),
		FairShare: int(d.accounts.fairShare(now, s.nameHash)),
	}
}
