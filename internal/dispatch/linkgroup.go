package dispatch

import "time"

// LinkGroups returns the name of the group of a router at a locality. The routers of a group are all linked with each other; those of
// different groups are linked through a few relays. The name is empty if the whole fleet is one group.
type LinkGroups func(at Locality) string

// oneGroup are the groups of a fleet in which all routers are linked.
func oneGroup(Locality) string { return "" }

// SetLinkGroups sets the groups into which the fleet is divided. Peers that have come into this router's group, or have left it, begin a new
// session.
func (d *Dispatcher) SetLinkGroups(now time.Time, groups LinkGroups) {
	d.linkGroups = groups
	for _, state := range d.targets {
		state.unheard = d.isUnheard(state.Region)
	}
	for _, p := range d.peers {
		if d.isOutsideGroup(p.Peer) {
			d.AddPeer(now, p.Peer)
		}
	}
	for _, r := range d.relays {
		if !d.isOutsideGroup(r.Peer) {
			d.AddPeer(now, r.Peer)
		}
	}
}

// SetReportedCustomers sets which customers, by the hash of the service's and the customer's names, this router reports on to other groups.
func (d *Dispatcher) SetReportedCustomers(isReported func(customerHash uint32) bool) {
	d.isReported = isReported
}

// ownGroup returns the name of this router's group.
func (d *Dispatcher) ownGroup() string { return d.linkGroups(d.locality) }

// isOutsideGroup reports whether a peer is in another group than this router, so that the link with it connects the two groups.
func (d *Dispatcher) isOutsideGroup(remote Peer) bool {
	return d.linkGroups(Locality{Zone: remote.Zone, Region: remote.Region}) != d.ownGroup()
}

// isUnheard reports whether this router does not know the runs of the routers of a region.
func (d *Dispatcher) isUnheard(region string) bool {
	return d.ownGroup() != "" && region != d.locality.Region
}
