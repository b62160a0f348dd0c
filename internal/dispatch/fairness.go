package dispatch

import "time"

const (
	// shareTolerance is the fraction by which a customer may exceed its share. The demand that the share is computed from is
	// known with a delay.
	shareTolerance = 0.1
	// maxYieldTime limits how long capacity is left to a peer whose waiting customer has less usage. Within that time the peer
	// learns of the capacity.
	maxYieldTime = 80 * time.Millisecond
	// yieldUsageMargin and yieldUsageTokens are the fraction and the number of tokens by which a customer's usage must exceed
	// that of the peer's waiting customer.
	yieldUsageMargin = 0.25
	yieldUsageTokens = 15_000
)

// customersByRank returns the customers with waiting requests in the order in which they are to be served.
func (d *Dispatcher) customersByRank(now time.Time, s *service) []customerRank {
	return s.queue.customersByRank(func(customer string) float64 { return d.accounts.usage(now, s, customer) })
}

// exceedsShare reports whether the customer of a request has exceeded its share while requests compete for capacity. Its
// requests are then refused on arrival, which leaves the capacity to the other customers, also at other routers.
func (d *Dispatcher) exceedsShare(now time.Time, s *service, request *Request) bool {
	return s.isContended(now) &&
		d.accounts.usage(now, s, request.Customer) > d.accounts.fairShare(now, s.nameHash)*(1+shareTolerance)
}

// shouldYield reports whether free capacity is left to a peer, at which a customer with clearly less usage waits. This ends
// after maxYieldTime, so that the capacity is used if the peer does not take it.
func (d *Dispatcher) shouldYield(now time.Time, s *service, customer string) bool {
	if len(d.peers) == 0 {
		return false
	}
	limit := d.accounts.usage(now, s, customer)/(1+yieldUsageMargin) - yieldUsageTokens
	if waiting := d.waitingAtPeersBelow(now, s, limit); waiting == 0 || s.countAvailable(now) > waiting {
		return false
	}
	if s.yieldingSince.IsZero() {
		s.yieldingSince = now
		s.yields++
	}
	return now.Sub(s.yieldingSince) < maxYieldTime
}

// waitingAtPeersBelow returns the number of requests that wait at peers whose waiting customer with the least usage is below a
// limit.
func (d *Dispatcher) waitingAtPeersBelow(now time.Time, s *service, limit float64) int {
	waiting := 0
	for _, p := range d.peers {
		report, found := p.queueReports[s.nameHash]
		if found && now.Sub(report.receivedAt) <= queueReportTTL && report.lowestUsage < limit {
			waiting += report.waiting
		}
	}
	return waiting
}

// recordUsage adds to a customer's usage and demand at this router, and queues both for the next messages to peers.
func (d *Dispatcher) recordUsage(now time.Time, s *service, customer string, usage, demand float64) {
	key := accountKey(s, customer)
	d.accounts.add(now, s.nameHash, key, usage, demand)
	for _, p := range d.peers {
		p.unreportedUsage[key] = p.unreportedUsage[key].plus(s.nameHash, usage, demand)
	}
}
