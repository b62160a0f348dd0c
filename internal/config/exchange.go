package config

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// encoded is the snapshot of one version, kept so that many peers can be answered.
type encoded struct {
	version uint64
	data    []byte
}

// SetListedPeers names the listed routers, whose messages count as contact. Until it is called all routers count.
func (s *Store) SetListedPeers(listed []string) {
	s.listed = make(map[string]bool, len(listed))
	for _, name := range listed {
		s.listed[name] = true
	}
}

// SetRegionPeers names the routers of the own region; configuration is fetched from another region only if none of them has
// it, since regional links are billed by volume.
func (s *Store) SetRegionPeers(near []string) { s.near = near }

// Connected notes a session with a peer.
func (s *Store) Connected(now time.Time, name string, _ uint64) {
	s.start(now)
	s.peers[name] = &peer{}
}

// Disconnected notes the end of a session.
func (s *Store) Disconnected(now time.Time, name string) {
	s.start(now)
	delete(s.peers, name)
}

// Receive takes a message of a peer; kinds that are not of the configuration only count as contact.
func (s *Store) Receive(now time.Time, from string, body *fleetpb.Body) {
	s.start(now)
	known, connected := s.peers[from]
	if !connected {
		return
	}
	if s.listed == nil || s.listed[from] {
		s.heardAt = now
	}
	switch {
	case body.GetHeartbeat() != nil:
		*known = heartbeat(body.GetHeartbeat())
	case body.GetConfigFetch() != nil:
		s.answer(from, body.GetConfigFetch().GetVersion())
	case body.GetConfigOffer() != nil:
		s.receiveOffer(now, body.GetConfigOffer())
	}
}

// answer sends the configuration to a peer that has the given version.
func (s *Store) answer(to string, version uint64) {
	if !s.ready || version > s.state.version {
		return
	}
	offer := &fleetpb.ConfigOffer{Offset: s.offset, Version: s.state.version}
	if version < s.state.version {
		offer.State = s.encode(version)
	}
	s.send(to, &fleetpb.Body{Kind: &fleetpb.Body_ConfigOffer{ConfigOffer: offer}})
}

// encode returns the record that leads from a version to the present state: the changes if they are known, else a
// snapshot.
func (s *Store) encode(version uint64) []byte {
	if changes := s.recent.since(version); len(changes) > 0 && len(changes) <= maxRecent {
		return Record{Changes: changes}.Encode()
	}
	if s.encoded.version != s.state.version {
		snapshot := NewSnapshot(s.state, s.offset)
		s.encoded = encoded{version: s.state.version, data: Record{Snapshot: &snapshot}.Encode()}
	}
	return s.encoded.data
}

// receiveOffer takes a peer's configuration if it is newer. An offer of the same version is of use only to a store
// that cannot go on by reading the log.
func (s *Store) receiveOffer(now time.Time, offer *fleetpb.ConfigOffer) {
	version, offset := offer.GetVersion(), offer.GetOffset()
	if version < s.state.version || offset < s.offset || version == s.state.version && !s.stuck() {
		return
	}
	state, changes, ok := s.offered(offer.GetState())
	if !ok || state.version != version {
		return
	}
	s.ready = true
	s.adopt(now, state, offset, changes)
}

// offered reads the state of an offer, and the changes that lead to it if they were sent. Without data it is the
// present state.
func (s *Store) offered(data []byte) (State, []Change, bool) {
	if len(data) == 0 {
		return s.state, nil, true
	}
	record, err := DecodeRecord(data)
	switch {
	case err != nil || record.Change != nil:
		return State{}, nil, false
	case record.Snapshot != nil:
		state, err := record.Snapshot.State()
		return state, nil, err == nil
	}
	state, changes := s.state, record.Changes
	for len(changes) > 0 && changes[0].Base < state.version {
		changes = changes[1:]
	}
	for _, change := range changes {
		if state, err = state.WithChange(change); err != nil {
			return State{}, nil, false
		}
	}
	return state, changes, true
}

// stuck tells whether the store cannot go on by reading the log alone.
func (s *Store) stuck() bool { return !s.ready || s.stalled || s.HasGap() }

// fetchState asks a random one of the most advanced peers for its configuration if this store is behind.
func (s *Store) fetchState(now time.Time) {
	ahead := s.ahead()
	if len(ahead) == 0 {
		s.fetch.behind = time.Time{}
		return
	}
	wait := lag
	switch {
	case s.fetch.failed || s.stalled || s.HasGap():
		wait = 0
	case !s.ready:
		wait = lookup
	}
	if !s.fetch.due(now, wait) {
		return
	}
	s.fetch.asked = now
	question := &fleetpb.ConfigFetch{Version: s.state.version}
	near := slices.DeleteFunc(slices.Clone(ahead), func(name string) bool { return !slices.Contains(s.near, name) })
	if len(near) > 0 {
		ahead = near
	}
	s.send(ahead[s.random.IntN(len(ahead))], &fleetpb.Body{Kind: &fleetpb.Body_ConfigFetch{ConfigFetch: question}})
}

// ahead returns the peers with the highest version that is of use to this store.
func (s *Store) ahead() []string {
	var names []string
	best := peer{version: s.state.version, offset: s.offset}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		known := s.peers[name]
		if known.version == s.state.version && (!s.stuck() || !known.known || s.ready && known.offset <= s.offset) {
			continue
		}
		if known.version > best.version {
			names, best = nil, *known
		}
		if known.version == best.version {
			names = append(names, name)
		}
	}
	return names
}

// send queues a message for the next tick.
func (s *Store) send(to string, body *fleetpb.Body) {
	s.envelopes = append(s.envelopes, message.Envelope{To: to, Body: body})
}
