package dispatch

import "time"

// shareTolerance is the fraction by which a customer may exceed its share. The demand that the share is computed from is known with
// a delay.
const shareTolerance = 0.1

// customersByRank returns the customers with waiting requests in the order in which they are to be served.
func (d *Dispatcher) customersByRank(now time.Time, s *service) []customerRank {
	return s.queue.customersByRank(func(customer string) float64 { return d.accounts.usage(now, s, customer) })
}

// exceedsShare reports whether the customer of a request has exceeded its share while requests compete for capacity. Its
// requests are then refused on arrival, which leaves the capacity to the other customers, also at other routers. As usage at other
// routers is known with a delay, this router also holds the customer to the part of the share that its callers here ask for.
func (d *Dispatcher) exceedsShare(now time.Time, s *service, request *Request) bool {
	limit := d.accounts.fairShare(now, s.nameHash) * (1 + shareTolerance)
	acct := d.accounts.getOrCreate(s.nameHash, accountKey(s, request.Customer))
	exceeds := acct.fleetUsage(now) > limit || acct.ownUsage.valueAt(now) > limit*acct.ownFraction(now)
	return exceeds && d.hasContention(now, s)
}

// isBelowShare reports whether a customer has got less than its share.
func (d *Dispatcher) isBelowShare(now time.Time, s *service, customer string) bool {
	return d.accounts.usage(now, s, customer) < d.accounts.fairShare(now, s.nameHash)
}

// farBelowShare is the fraction of its share below which a customer counts as starving.
const farBelowShare = 0.5

// isFarBelowShare reports whether a customer has got less than farBelowShare of its share.
func (d *Dispatcher) isFarBelowShare(now time.Time, s *service, customer string) bool {
	return d.accounts.usage(now, s, customer) < d.accounts.fairShare(now, s.nameHash)*farBelowShare
}

// ShareState compares what a customer has got of a service at all routers with its fair share.
type ShareState struct {
	// Usage and Demand are what the customer has lately got and asked for at all routers, as far as known, and FairShare is the max-min fair share
	// of the service. A prompt token counts once, an output token twice.
	Usage, Demand, FairShare float64
	// Exceeded is set if the customer has exceeded its share while requests compete for capacity, FarBelow if it got far less than it.
	Exceeded, FarBelow bool
}

// ShareState returns the state of a customer at a service, both by name.
func (d *Dispatcher) ShareState(now time.Time, serviceName, customer string) ShareState {
	s, found := d.services[serviceName]
	if !found {
		return ShareState{}
	}
	state := ShareState{FairShare: d.accounts.fairShare(now, s.nameHash)}
	if acct, known := d.accounts.byKey[accountKey(s, customer)]; known {
		state.Usage, state.Demand = acct.fleetUsage(now), acct.fleetDemand(now)
	}
	state.Exceeded = state.Usage > state.FairShare*(1+shareTolerance) && d.hasContention(now, s)
	state.FarBelow = state.Usage < state.FairShare*farBelowShare
	return state
}

// hasContention reports whether requests compete for the capacity of a service, at this router, at a peer or in another group.
// Requests that wait elsewhere do not count while many targets are available here, since those routers may be cut off from them.
func (d *Dispatcher) hasContention(now time.Time, s *service) bool {
	if s.queue.length > 0 {
		return true
	}
	available := s.countAvailable(now)
	return available <= len(s.targets)/contentionDivisor ||
		available <= len(s.targets)/peerContentionDivisor && (d.countWaitingAtPeers(now, s) > 0 || d.waitsInOtherGroup(now, s))
}

// countWaitingAtPeers returns the number of requests that wait at peers by their recent reports.
func (d *Dispatcher) countWaitingAtPeers(now time.Time, s *service) int {
	waiting, oldest := 0, now.Add(-d.queueReportTTL())
	for _, p := range d.peers {
		if report, found := p.queueReports[s.nameHash]; found && !report.receivedAt.Before(oldest) {
			waiting += report.waiting
		}
	}
	return waiting
}

// queueReportTTL returns the time after which a peer's report on its waiting requests is out of date. Peers repeat it with every
// message, and their periods are about those of this router.
func (d *Dispatcher) queueReportTTL() time.Duration {
	_, far := d.messagePeriods()
	return 2*far + queueReportSlack
}

// recordUsage adds to a customer's usage and demand at this router, and queues both for the next messages to peers.
func (d *Dispatcher) recordUsage(now time.Time, s *service, customer string, usage, demand float64) {
	key := accountKey(s, customer)
	d.accounts.addOwn(now, s.nameHash, key, usage, demand)
	for _, p := range d.peers {
		p.unreportedUsage[key] = p.unreportedUsage[key].plus(s.nameHash, usage, demand)
	}
}
