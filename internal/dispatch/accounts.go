package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// shareTTL is how long a computed fair share is reused before it is computed again.
	shareTTL = 50 * time.Millisecond
	// shareReuseLimit is the usage that may be added to a service while its fair share is reused, as a fraction of the total usage.
	shareReuseLimit = 0.02
)

// account is the recent usage and demand of one customer at one service, in the units of requestCost: summed over this router and its
// connected peers, of this router alone, and of each other group of routers by the hash of its name.
type account struct {
	serviceHash         uint32
	usage, demand       decayingSum
	ownUsage, ownDemand decayingSum
	remote              map[uint32]remoteUse
}

// remoteUse is the recent usage and demand of a customer in another group of routers.
type remoteUse struct {
	usage, demand decayingSum
}

// fleetUsage returns the usage at all routers.
func (a *account) fleetUsage(now time.Time) float64 {
	usage := a.usage.valueAt(now)
	for _, use := range a.remote {
		usage += use.usage.valueAt(now)
	}
	return usage
}

// fleetDemand returns the demand at all routers.
func (a *account) fleetDemand(now time.Time) float64 {
	demand := a.demand.valueAt(now)
	for _, use := range a.remote {
		demand += use.demand.valueAt(now)
	}
	return demand
}

// ownFraction returns the part of the demand that reached this router.
func (a *account) ownFraction(now time.Time) float64 {
	demand := a.fleetDemand(now)
	if demand <= 0 {
		return 1
	}
	return min(a.ownDemand.valueAt(now)/demand, 1)
}

// ownFraction returns the part of all customers' demand for a service at the linked routers that reached this router, 1 if there was none.
// Other groups are left out, because the copies of prompt parts that the fraction is used for are counted within the group.
func (a *customerAccounts) ownFraction(now time.Time, serviceHash uint32) float64 {
	own, all := 0.0, 0.0
	for _, acct := range a.byKey {
		if acct.serviceHash == serviceHash {
			own += acct.ownDemand.valueAt(now)
			all += acct.demand.valueAt(now)
		}
	}
	if all <= 0 {
		return 1
	}
	return min(own/all, 1)
}

// customerAccounts holds the accounts of all customers by the hash of service and customer name. It also caches the fair share
// of each service by the hash of the service name.
type customerAccounts struct {
	byKey          map[uint32]*account
	shareByService map[uint32]cachedShare
}

// cachedShare is a computed fair share of a service, in the units of requestCost.
type cachedShare struct {
	share      float64
	computedAt time.Time
	// remaining is the usage that may still be added to the service before the share is computed again.
	remaining float64
}

// newCustomerAccounts returns an empty set of accounts.
func newCustomerAccounts() *customerAccounts {
	return &customerAccounts{byKey: make(map[uint32]*account), shareByService: make(map[uint32]cachedShare)}
}

// accountKey returns the key of a customer's account at a service. It is also the customer's hash in messages to peers.
func accountKey(svc *service, customer string) uint32 { return hashName(svc.name + "/" + customer) }

// getOrCreate returns the account with the key and creates it if it does not exist.
func (a *customerAccounts) getOrCreate(serviceHash, key uint32) *account {
	found, ok := a.byKey[key]
	if !ok {
		found = &account{serviceHash: serviceHash}
		a.byKey[key] = found
	}
	return found
}

// usage returns the recent usage of a service by a customer, and 0 if there is no account.
func (a *customerAccounts) usage(now time.Time, svc *service, customer string) float64 {
	if found, ok := a.byKey[accountKey(svc, customer)]; ok {
		return found.fleetUsage(now)
	}
	return 0
}

// addOwn adds to the usage and the demand of an account what this router has started and received.
func (a *customerAccounts) addOwn(now time.Time, serviceHash, key uint32, usage, demand float64) {
	a.add(now, serviceHash, key, usage, demand)
	acct := a.getOrCreate(serviceHash, key)
	acct.ownUsage = acct.ownUsage.withAdded(now, usage)
	acct.ownDemand = acct.ownDemand.withAdded(now, demand)
}

// add adds to the usage and the demand of an account.
func (a *customerAccounts) add(now time.Time, serviceHash, key uint32, usage, demand float64) {
	acct := a.getOrCreate(serviceHash, key)
	acct.usage = acct.usage.withAdded(now, usage)
	acct.demand = acct.demand.withAdded(now, demand)
	if cached, ok := a.shareByService[serviceHash]; ok {
		cached.remaining -= math.Abs(usage)
		a.shareByService[serviceHash] = cached
	}
}

// setRemote replaces what a group of routers has reported of an account. The values hold until holdUntil, when the next report should have
// come, and decay afterwards.
func (a *customerAccounts) setRemote(now, holdUntil time.Time, groupHash uint32, sum *fleetpb.CustomerSum) {
	acct := a.getOrCreate(sum.GetService(), sum.GetCustomer())
	if acct.remote == nil {
		acct.remote = make(map[uint32]remoteUse)
	}
	change := float64(sum.GetUsage()) - acct.remote[groupHash].usage.valueAt(now)
	acct.remote[groupHash] = remoteUse{
		usage:  decayingSum{value: float64(sum.GetUsage()), updatedAt: holdUntil},
		demand: decayingSum{value: float64(sum.GetDemand()), updatedAt: holdUntil},
	}
	if cached, ok := a.shareByService[sum.GetService()]; ok {
		cached.remaining -= math.Abs(change)
		a.shareByService[sum.GetService()] = cached
	}
}

// groupSums returns the sums over this router and its linked peers of the accounts with the largest demands, at most limit of each service.
// Customers with smaller demands than these get what they ask for; without them, the share that is computed for the others is the same.
func (a *customerAccounts) groupSums(now time.Time, limit int) []*fleetpb.CustomerSum {
	var sums []*fleetpb.CustomerSum
	for key, acct := range a.byKey {
		if demand := acct.demand.valueAt(now); demand >= 1 {
			sums = append(sums, &fleetpb.CustomerSum{
				Customer: key, Service: acct.serviceHash, Usage: uint32(acct.usage.valueAt(now)), Demand: uint32(demand),
			})
		}
	}
	slices.SortFunc(sums, func(a, b *fleetpb.CustomerSum) int {
		return cmp.Or(cmp.Compare(b.GetDemand(), a.GetDemand()), cmp.Compare(a.GetCustomer(), b.GetCustomer()))
	})
	counts := make(map[uint32]int)
	return slices.DeleteFunc(sums, func(sum *fleetpb.CustomerSum) bool {
		counts[sum.GetService()]++
		return counts[sum.GetService()] > limit
	})
}

// fairShare returns the max-min fair share of a service. The customers' total usage is divided so that no customer gets more
// than its demand, and what the satisfied customers leave is divided equally among the others. It also removes the accounts,
// of any service, whose demand has decayed below 1.
func (a *customerAccounts) fairShare(now time.Time, serviceHash uint32) float64 {
	cached := a.shareByService[serviceHash]
	if now.Sub(cached.computedAt) < shareTTL && cached.remaining > 0 {
		return cached.share
	}
	var demands []float64
	total := 0.0
	for key, acct := range a.byKey {
		demand := acct.fleetDemand(now)
		switch {
		case demand < 1:
			delete(a.byKey, key)
		case acct.serviceHash == serviceHash:
			demands = append(demands, demand)
			total += acct.fleetUsage(now)
		}
	}
	slices.Sort(demands)
	share, remaining := 0.0, total
	for i, demand := range demands {
		share = remaining / float64(len(demands)-i)
		if demand > share {
			break
		}
		remaining -= demand
	}
	a.shareByService[serviceHash] = cachedShare{share: share, computedAt: now, remaining: total * shareReuseLimit}
	return share
}
