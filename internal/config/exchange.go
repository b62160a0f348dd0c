package config

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// encodedSnapshot caches the encoded snapshot of one version, so that many peers can be answered with it.
type encodedSnapshot struct {
	version uint64
	data    []byte
}

// SetListedPeers sets the names of the other routers in the platform's host list. Only messages from them count as contact
// with the fleet, see Isolated. Until the first call messages from all peers count.
func (s *Store) SetListedPeers(names []string) {
	s.listedPeers = make(map[string]bool, len(names))
	for _, name := range names {
		s.listedPeers[name] = true
	}
}

// SetRegionPeers sets the names of the routers in this router's region. Configuration is fetched from another region only
// if none of them has it, since traffic between regions is billed by volume. The store keeps the slice.
func (s *Store) SetRegionPeers(names []string) { s.regionPeers = names }

// Connected adds a peer with which a session has begun. Its incarnation is not used.
func (s *Store) Connected(now time.Time, name string, _ uint64) {
	s.recordStart(now)
	s.peers[name] = &peerStatus{}
}

// Disconnected removes a peer whose session has ended.
func (s *Store) Disconnected(now time.Time, name string) {
	s.recordStart(now)
	delete(s.peers, name)
}

// Receive handles a message from a connected peer. Messages other than heartbeats, ConfigFetch and ConfigOffer only count
// as contact with the peer.
func (s *Store) Receive(now time.Time, from string, body *fleetpb.Body) {
	s.recordStart(now)
	status, connected := s.peers[from]
	if !connected {
		return
	}
	if s.listedPeers == nil || s.listedPeers[from] {
		s.peerHeardAt = now
	}
	switch {
	case body.GetHeartbeat() != nil:
		*status = statusFromHeartbeat(body.GetHeartbeat())
	case body.GetConfigFetch() != nil:
		s.sendOffer(from, body.GetConfigFetch().GetVersion())
	case body.GetConfigOffer() != nil:
		s.receiveOffer(now, body.GetConfigOffer())
	}
}

// sendOffer answers a ConfigFetch of a peer that has the given version. It sends nothing if the peer is ahead, and an
// offer without a state if the peer has the same version.
func (s *Store) sendOffer(to string, version uint64) {
	if !s.ready || version > s.state.version {
		return
	}
	offer := &fleetpb.ConfigOffer{Offset: s.appliedOffset, Version: s.state.version}
	if version < s.state.version {
		offer.State = s.encodeUpdate(version)
	}
	s.queueMessage(to, &fleetpb.Body{Kind: &fleetpb.Body_ConfigOffer{ConfigOffer: offer}})
}

// encodeUpdate returns an encoded record that brings a peer from the given version to the current state: the changes
// since then if they are still held, else a snapshot.
func (s *Store) encodeUpdate(version uint64) []byte {
	if changes := s.recent.since(version); len(changes) > 0 && len(changes) <= maxRecentChanges {
		return Record{Changes: changes}.Encode()
	}
	if s.snapshotCache.version != s.state.version {
		snapshot := NewSnapshot(s.state, s.appliedOffset)
		s.snapshotCache = encodedSnapshot{version: s.state.version, data: Record{Snapshot: &snapshot}.Encode()}
	}
	return s.snapshotCache.data
}

// receiveOffer adopts the configuration of a peer if it is newer, both in version and in offset. An offer of the same
// version is of use only to a store that cannot catch up by reading the log.
func (s *Store) receiveOffer(now time.Time, offer *fleetpb.ConfigOffer) {
	version, offset := offer.GetVersion(), offer.GetOffset()
	if version < s.state.version || offset < s.appliedOffset || version == s.state.version && !s.needsPeerState() {
		return
	}
	state, changes, ok := s.decodeOffer(offer.GetState())
	if !ok || state.version != version {
		return
	}
	s.ready = true
	s.adoptState(now, state, offset, changes)
}

// decodeOffer returns the state that an offer carries, and the changes that lead to it if the offer has changes instead
// of a snapshot. An offer without data stands for the current state. It returns false if the data is not usable.
func (s *Store) decodeOffer(data []byte) (State, []Change, bool) {
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

// needsPeerState reports whether the store is not ready, stalled or has a gap, and so may be unable to catch up by reading
// the log alone.
func (s *Store) needsPeerState() bool { return !s.ready || s.stalled || s.HasGap() }

// requestConfig asks a random one of the peers that are furthest ahead for its configuration, once this store has been
// behind for long enough. Peers of the own region are preferred.
func (s *Store) requestConfig(now time.Time) {
	candidates := s.peersAhead()
	if len(candidates) == 0 {
		s.fetch.behindSince = time.Time{}
		return
	}
	delay := fetchDelay
	switch {
	case s.fetch.logReadFailed || s.stalled || s.HasGap():
		delay = 0
	case !s.ready:
		delay = startFetchDelay
	}
	if !s.fetch.requestDue(now, delay) {
		return
	}
	s.fetch.lastRequestAt = now
	request := &fleetpb.ConfigFetch{Version: s.state.version}
	regional := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return !slices.Contains(s.regionPeers, name) })
	if len(regional) > 0 {
		candidates = regional
	}
	s.queueMessage(candidates[s.rng.IntN(len(candidates))], &fleetpb.Body{Kind: &fleetpb.Body_ConfigFetch{ConfigFetch: request}})
}

// peersAhead returns the sorted names of the peers with the highest version, if that version is of use to this store. An
// equal version is of use only to a store that needs a peer's state.
func (s *Store) peersAhead() []string {
	var ahead []string
	best := peerStatus{version: s.state.version, offset: s.appliedOffset}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		status := s.peers[name]
		if status.version == s.state.version &&
			(!s.needsPeerState() || !status.hasConfig || s.ready && status.offset <= s.appliedOffset) {
			continue
		}
		if status.version > best.version {
			ahead, best = nil, *status
		}
		if status.version == best.version {
			ahead = append(ahead, name)
		}
	}
	return ahead
}

// queueMessage queues a message that the next Tick returns.
func (s *Store) queueMessage(to string, body *fleetpb.Body) {
	s.envelopes = append(s.envelopes, message.Envelope{To: to, Body: body})
}
