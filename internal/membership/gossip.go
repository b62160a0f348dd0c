package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Receive handles a message from a peer. Kinds other than heartbeats, host lists and marks only show that the peer is alive.
// Messages from peers without a session are ignored.
func (t *Tracker) Receive(now time.Time, from string, body *fleetpb.Body) {
	peer := t.peers[from]
	if peer == nil || !peer.connected {
		return
	}
	peer.lastReceived = now
	switch {
	case body.GetHeartbeat() != nil:
		peer.hostListVersion = body.GetHeartbeat().GetHostsVersion()
		t.receiveSelfReport(now, from, peer.incarnation, body.GetHeartbeat().GetLeaving())
	case body.GetHostsFetch() != nil:
		t.offerHostList(from, body.GetHostsFetch().GetVersion())
	case body.GetHostsOffer() != nil && body.GetHostsOffer().GetVersion() == 0:
		t.receiveMarks(now, from, body.GetHostsOffer().GetHosts())
	case body.GetHostsOffer() != nil:
		t.SetHostList(now, decodeHostList(body.GetHostsOffer()))
	}
}

// fetchHostList requests the host list from a random peer among those with the newest version, if this router's list has been
// older for hostListFetchDelay. A router without a list does not wait.
func (t *Tracker) fetchHostList(now time.Time) {
	newest := t.hostList.Version
	var newerPeers []string
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		peer := t.peers[name]
		if !peer.connected || peer.hostListVersion < newest || peer.hostListVersion == t.hostList.Version {
			continue
		}
		if peer.hostListVersion > newest {
			newest, newerPeers = peer.hostListVersion, nil
		}
		newerPeers = append(newerPeers, name)
	}
	if len(newerPeers) == 0 {
		t.outdatedSince = time.Time{}
		return
	}
	if t.outdatedSince.IsZero() {
		t.outdatedSince = now
	}
	if t.hostList.Version > 0 && now.Sub(t.outdatedSince) < hostListFetchDelay ||
		!t.lastListFetch.IsZero() && now.Sub(t.lastListFetch) < hostListFetchInterval {
		return
	}
	t.lastListFetch = now
	if nearby := t.inOwnRegion(newerPeers); len(nearby) > 0 {
		newerPeers = nearby
	}
	t.enqueue(newerPeers[t.random.IntN(len(newerPeers))], &fleetpb.Body{
		Kind: &fleetpb.Body_HostsFetch{HostsFetch: &fleetpb.HostsFetch{Version: t.hostList.Version}},
	})
}

// inOwnRegion returns the names of routers in this router's region. The host list is fetched from another region only if
// there are none, because traffic between regions is billed by volume.
func (t *Tracker) inOwnRegion(names []string) []string {
	regionPeers := t.View().RegionPeers()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(regionPeers, name) })
}

// offerHostList sends the host list to a peer that has the given version, if that is older.
func (t *Tracker) offerHostList(to string, version uint64) {
	if version >= t.hostList.Version {
		return
	}
	if t.encodedList == nil {
		t.encodedList = encodeHostList(t.hostList)
	}
	t.enqueue(to, t.encodedList)
}

// broadcastMarks sends the entries of the named hosts to all peers with a session except one. Each peer forwards what is new to
// it, so that marks reach all routers within a few ticks, even those whose host list is stale or that do not poll the target.
func (t *Tracker) broadcastMarks(names []string, except string) {
	if len(names) == 0 {
		return
	}
	entries := make([]*fleetpb.HostEntry, 0, len(names))
	for _, name := range names {
		entries = append(entries, t.markEntry(name))
	}
	body := marksMessage(entries)
	for _, peer := range slices.Sorted(maps.Keys(t.peers)) {
		if t.peers[peer].connected && peer != except {
			t.enqueue(peer, body)
		}
	}
}

// leavingMarks returns the marks of all leaving hosts, sorted by host name.
func (t *Tracker) leavingMarks() []*fleetpb.HostEntry {
	var entries []*fleetpb.HostEntry
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		if t.hosts[name].leaving {
			entries = append(entries, t.markEntry(name))
		}
	}
	return entries
}

// markEntry returns the entry that tells peers whether the current incarnation of a host is leaving.
func (t *Tracker) markEntry(name string) *fleetpb.HostEntry {
	host := t.hostState(name)
	return &fleetpb.HostEntry{Name: name, Leaving: host.leaving, Incarnation: host.incarnation}
}

// marksMessage encodes entries as a HostsOffer of version zero, which carries no host list.
func marksMessage(entries []*fleetpb.HostEntry) *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_HostsOffer{HostsOffer: &fleetpb.HostsOffer{Hosts: entries}}}
}

// receiveMarks applies marks of a peer and forwards those that are new. A leaving mark of an incarnation that this router knows
// to have been replaced is answered with the entry of the current incarnation. Entries without the leaving mark are not answered,
// so that two routers with different knowledge do not keep answering each other.
func (t *Tracker) receiveMarks(now time.Time, from string, entries []*fleetpb.HostEntry) {
	var updated, corrections []string
	for _, entry := range entries {
		name, incarnation := entry.GetName(), entry.GetIncarnation()
		host := t.hostState(name)
		host.lastMarkReceived = now
		otherIncarnation := incarnation != "" && host.incarnation != "" && incarnation != host.incarnation
		authoritative := name == t.self.Name || now.Sub(host.lastSelfReport) < selfReportPrecedence ||
			slices.Contains(host.formerIncarnations, incarnation)
		switch {
		case otherIncarnation && authoritative && entry.GetLeaving():
			corrections = append(corrections, name)
		case otherIncarnation && authoritative:
		case host.applyMark(incarnation, entry.GetLeaving()):
			updated = append(updated, name)
			t.viewOutdated = true
		}
	}
	t.broadcastMarks(updated, from)
	for _, name := range corrections {
		t.enqueue(from, marksMessage([]*fleetpb.HostEntry{t.markEntry(name)}))
	}
}

// encodeHostList encodes a host list as a HostsOffer.
func encodeHostList(list external.HostList) *fleetpb.Body {
	offer := &fleetpb.HostsOffer{Version: list.Version, Hosts: make([]*fleetpb.HostEntry, 0, len(list.Hosts))}
	for _, entry := range list.Hosts {
		offer.Hosts = append(offer.Hosts, &fleetpb.HostEntry{
			Name: entry.Name, Role: string(entry.Role), Region: entry.Region, Zone: entry.Zone, Address: entry.Address,
			Link: entry.LinkAddress, Model: entry.Model, Slots: uint32(entry.Slots), Leaving: entry.Leaving, Fenced: entry.Fenced,
		})
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_HostsOffer{HostsOffer: offer}}
}

// decodeHostList decodes the host list of a HostsOffer.
func decodeHostList(offer *fleetpb.HostsOffer) external.HostList {
	list := external.HostList{Version: offer.GetVersion(), Hosts: make([]external.Host, 0, len(offer.GetHosts()))}
	for _, entry := range offer.GetHosts() {
		list.Hosts = append(list.Hosts, external.Host{
			Name: entry.GetName(), Role: external.Role(entry.GetRole()), Region: entry.GetRegion(), Zone: entry.GetZone(),
			Address: entry.GetAddress(), LinkAddress: entry.GetLink(), Model: entry.GetModel(), Slots: int(entry.GetSlots()),
			Leaving: entry.GetLeaving(), Fenced: entry.GetFenced(),
		})
	}
	return list
}
