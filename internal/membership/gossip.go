package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Receive takes a message of a peer; kinds that are not of the membership only count as a sign of life.
func (t *Tracker) Receive(now time.Time, from string, body *fleetpb.Body) {
	link := t.peers[from]
	if link == nil || !link.session {
		return
	}
	link.heard = now
	switch {
	case body.GetHeartbeat() != nil:
		link.hosts = body.GetHeartbeat().GetHostsVersion()
		t.hear(now, from, link.incarnation, body.GetHeartbeat().GetLeaving())
	case body.GetHostsFetch() != nil:
		t.answer(from, body.GetHostsFetch().GetVersion())
	case body.GetHostsOffer() != nil && body.GetHostsOffer().GetVersion() == 0:
		t.receiveMarks(now, from, body.GetHostsOffer().GetHosts())
	case body.GetHostsOffer() != nil:
		t.List(now, decodeList(body.GetHostsOffer()))
	}
}

// fetchList asks one of the peers with the newest host list for it, if this router's list stays older.
func (t *Tracker) fetchList(now time.Time) {
	newest := t.list.Version
	var ahead []string
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		link := t.peers[name]
		if !link.session || link.hosts < newest || link.hosts == t.list.Version {
			continue
		}
		if link.hosts > newest {
			newest, ahead = link.hosts, nil
		}
		ahead = append(ahead, name)
	}
	if len(ahead) == 0 {
		t.behind = time.Time{}
		return
	}
	if t.behind.IsZero() {
		t.behind = now
	}
	if t.list.Version > 0 && now.Sub(t.behind) < lag || !t.asked.IsZero() && now.Sub(t.asked) < refetch {
		return
	}
	t.asked = now
	if near := t.near(ahead); len(near) > 0 {
		ahead = near
	}
	t.send(ahead[t.random.IntN(len(ahead))], &fleetpb.Body{
		Kind: &fleetpb.Body_HostsFetch{HostsFetch: &fleetpb.HostsFetch{Version: t.list.Version}},
	})
}

// near returns the routers among names that are in the own region. A list is fetched from another region only if there
// are none, since regional links are billed by volume.
func (t *Tracker) near(names []string) []string {
	region := t.View().RegionPeers()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(region, name) })
}

// answer sends the host list to a peer that has an older version.
func (t *Tracker) answer(to string, version uint64) {
	if version >= t.list.Version {
		return
	}
	if t.offer == nil {
		t.offer = encodeList(t.list)
	}
	t.send(to, t.offer)
}

// spread tells all linked peers but one the marks of hosts. A peer passes on what is new to it, so that marks reach
// all routers within a few ticks, also where the list is stuck and nobody polls the target.
func (t *Tracker) spread(names []string, except string) {
	if len(names) == 0 {
		return
	}
	entries := make([]*fleetpb.HostEntry, 0, len(names))
	for _, name := range names {
		entries = append(entries, t.mark(name))
	}
	body := marksBody(entries)
	for _, peer := range slices.Sorted(maps.Keys(t.peers)) {
		if t.peers[peer].session && peer != except {
			t.send(peer, body)
		}
	}
}

// marks returns the marks of all leaving hosts, sorted by name.
func (t *Tracker) marks() []*fleetpb.HostEntry {
	var entries []*fleetpb.HostEntry
	for _, name := range slices.Sorted(maps.Keys(t.known)) {
		if t.known[name].leaving {
			entries = append(entries, t.mark(name))
		}
	}
	return entries
}

// mark returns the mark of one host.
func (t *Tracker) mark(name string) *fleetpb.HostEntry {
	known := t.host(name)
	return &fleetpb.HostEntry{Name: name, Leaving: known.leaving, Incarnation: known.incarnation}
}

// marksBody returns a message of marks: an offer of version zero, which carries no list.
func marksBody(entries []*fleetpb.HostEntry) *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_HostsOffer{HostsOffer: &fleetpb.HostsOffer{Hosts: entries}}}
}

// receiveMarks takes marks of a peer and passes on what is new. A mark of an incarnation that is known to be gone is
// answered with the present one. Only leaving marks are answered, so that two routers with different knowledge do not
// go on answering each other.
func (t *Tracker) receiveMarks(now time.Time, from string, entries []*fleetpb.HostEntry) {
	var news, corrections []string
	for _, entry := range entries {
		name, incarnation := entry.GetName(), entry.GetIncarnation()
		known := t.host(name)
		known.noted = now
		other := incarnation != "" && known.incarnation != "" && incarnation != known.incarnation
		certain := name == t.self.Name || now.Sub(known.seen) < direct || slices.Contains(known.retired, incarnation)
		switch {
		case other && certain && entry.GetLeaving():
			corrections = append(corrections, name)
		case other && certain:
		case known.observe(incarnation, entry.GetLeaving()):
			news = append(news, name)
			t.changed = true
		}
	}
	t.spread(news, from)
	for _, name := range corrections {
		t.send(from, marksBody([]*fleetpb.HostEntry{t.mark(name)}))
	}
}

// encodeList returns a host list as a message.
func encodeList(list outside.HostList) *fleetpb.Body {
	offer := &fleetpb.HostsOffer{Version: list.Version, Hosts: make([]*fleetpb.HostEntry, 0, len(list.Hosts))}
	for _, entry := range list.Hosts {
		offer.Hosts = append(offer.Hosts, &fleetpb.HostEntry{
			Name: entry.Name, Role: string(entry.Role), Region: entry.Region, Zone: entry.Zone, Address: entry.Address,
			Link: entry.LinkAddress, Model: entry.Model, Slots: uint32(entry.Slots), Leaving: entry.Leaving, Fenced: entry.Fenced,
		})
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_HostsOffer{HostsOffer: offer}}
}

// decodeList returns the host list of a message.
func decodeList(offer *fleetpb.HostsOffer) outside.HostList {
	list := outside.HostList{Version: offer.GetVersion(), Hosts: make([]outside.Host, 0, len(offer.GetHosts()))}
	for _, entry := range offer.GetHosts() {
		list.Hosts = append(list.Hosts, outside.Host{
			Name: entry.GetName(), Role: outside.Role(entry.GetRole()), Region: entry.GetRegion(), Zone: entry.GetZone(),
			Address: entry.GetAddress(), LinkAddress: entry.GetLink(), Model: entry.GetModel(), Slots: int(entry.GetSlots()),
			Leaving: entry.GetLeaving(), Fenced: entry.GetFenced(),
		})
	}
	return list
}
