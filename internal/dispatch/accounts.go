package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTTL is how long a computed fair share is reused before it is computed again.
	shareTTL = 50 * time.Millisecond
	// shareReuseLimit is the usage that may be added to a service while its fair share is reused, as a fraction of the total usage.
	shareReuseLimit = 0.02
)

// account is the recent usage and demand of one customer at one service, in the units of requestCost: summed over this router and its
// connected peers, and of this router alone.
type account struct {
	serviceHash         uint32
	usage, demand       decayingSum
	ownUsage, ownDemand decayingSum
}

// ownFraction returns the part of the demand that reached this router.
func (a *account) ownFraction(now time.Time) float64 {
	demand := a.demand.valueAt(now)
	if demand <= 0 {
		return 1
	}
	return min(a.ownDemand.valueAt(now)/demand, 1)
}

// ownFraction returns the part of all customers' demand for a service that reached this router, 1 if there was none.
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
		return found.usage.valueAt(now)
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
		demand := acct.demand.valueAt(now)
		switch {
		case demand < 1:
			delete(a.byKey, key)
		case acct.serviceHash == serviceHash:
			demands = append(demands, demand)
			total += acct.usage.valueAt(now)
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
