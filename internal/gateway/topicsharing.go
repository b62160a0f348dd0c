package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/rendezvous"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// readHoldTime is how long a router holds a peer's TopicRead when there are no new records, rareReadHoldTime the same for topics that
	// seldom change.
	readHoldTime     = time.Second
	rareReadHoldTime = 5 * time.Second
	// replySlack is how much longer than the hold time a router waits for the reply.
	replySlack = 400 * time.Millisecond
	// maxRelayedAge is the maximum age of records from a peer that are used. While the store works, the peer's
	// confirmations are up to two poll waits old.
	maxRelayedAge = 2*configPollWait + 300*time.Millisecond
	// maxRareRelayedAge is the same for topics that seldom change, whose reads the store holds for routerPollWait. A reader that is cut off
	// from the store is avoided earlier, since its reads fail, or those of the other topics do.
	maxRareRelayedAge = 2*routerPollWait + 5*time.Second
	// readerAvoidTime is how long the zone's reader is not asked after a bad reply. fallbackAvoidTime is the same for
	// other peers; it is shorter, because such a peer may have lost its own reader a moment ago.
	readerAvoidTime   = 5 * time.Second
	fallbackAvoidTime = time.Second
	// preferPeersTime is how long a router whose read of the store failed asks peers first.
	preferPeersTime = 3 * time.Second
	// maxPeerSilence is how long a peer may send nothing at all before it is not asked. Without messages of their own, peers send a heartbeat
	// every heartbeatInterval.
	maxPeerSilence = 2 * heartbeatInterval
	// minSharedRevocationDelay is the shortest maximum revocation delay with which records from peers can be used. The age
	// of these records plus the time to the next reply stays well below it.
	minSharedRevocationDelay = 4 * time.Second
)

// Reasons why a reply of a peer is missing or not used.
var (
	errReplyTimeout   = errors.New("the peer did not reply in time")
	errRecordsUnknown = errors.New("the peer does not have the records")
	errRecordsStale   = errors.New("the records of the peer are too old")
	errLinkClosed     = errors.New("the link to the peer has ended")
)

// topicSharing lets the routers of an availability zone read the topics of the store through one of them, the zone's
// reader. Calls to the store are billed, and their number is limited for the whole fleet. It is safe for concurrent use.
//
// Each router asks the peer of its availability zone with the highest weight, provided that this weight is higher than its
// own. This order rules out cycles. After a bad reply, a router reads the store itself and avoids the peer for a while. If
// the store does not reply either, the router asks any other linked peer, because it may be the only one without access to
// the store. Peers that have been silent for a while are not asked, so that a router does not wait for one lost peer after the other.
type topicSharing struct {
	routerName string
	eras       *topiclog.EraTracker
	logger     zerolog.Logger
	send       func(to string, body *fleetpb.Body)

	mu     sync.Mutex
	topics map[string]*sharedTopic
	// linkedWeights holds the weights of all linked peers, zoneWeights those of linked peers in the same availability
	// zone.
	linkedWeights map[string]uint64
	zoneWeights   map[string]uint64
	// avoidUntil holds the time until which a peer is not asked, silentFrom the time from which it is not asked unless it sends something.
	avoidUntil, silentFrom map[string]time.Time
	// pending holds the reads that this router has sent, by number.
	pending map[uint64]pendingRead
	// held holds the reads of peers that are not answered yet.
	held       []heldRead
	lastNumber uint64
}

// pendingRead is a read that was sent to a peer. The channel is closed if the link ends before the reply.
type pendingRead struct {
	peer  string
	reply chan *fleetpb.TopicPage
}

// newTopicSharing returns the topic sharing of a router without links. send is called with mu held and must not block.
func newTopicSharing(
	routerName string, eras *topiclog.EraTracker, logger zerolog.Logger, send func(to string, body *fleetpb.Body),
) *topicSharing {
	return &topicSharing{
		routerName: routerName, eras: eras, logger: logger, send: send, topics: make(map[string]*sharedTopic),
		linkedWeights: make(map[string]uint64), zoneWeights: make(map[string]uint64),
		avoidUntil: make(map[string]time.Time), silentFrom: make(map[string]time.Time), pending: make(map[uint64]pendingRead),
	}
}

// readerWeight returns the weight of a router in the selection of the router that reads the store.
func readerWeight(router string) uint64 { return rendezvous.Weight(xxhash.Sum64String(router), 0) }

// shareTopic returns a topic that is read through a peer if possible, and otherwise from storeTopic. All calls must
// precede the first message of a peer.
func (s *topicSharing) shareTopic(name string, storeTopic topiclog.Topic) topiclog.Topic {
	return s.addTopic(&sharedTopic{Topic: storeTopic, name: name, holdTime: readHoldTime, maxAge: maxRelayedAge})
}

// shareRareTopic is like shareTopic for a topic that seldom changes. News come as soon, but the peer confirms less often that there are none.
func (s *topicSharing) shareRareTopic(name string, storeTopic topiclog.Topic) topiclog.Topic {
	return s.addTopic(&sharedTopic{Topic: storeTopic, name: name, holdTime: rareReadHoldTime, maxAge: maxRareRelayedAge})
}

// addTopic adds a topic without records.
func (s *topicSharing) addTopic(shared *sharedTopic) topiclog.Topic {
	shared.sharing, shared.cache = s, topiclog.NewCache()
	s.topics[shared.name] = shared
	return shared
}

// peerConnected adds a linked peer. sameZone reports whether it is in the same availability zone.
func (s *topicSharing) peerConnected(peer string, sameZone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkedWeights[peer] = readerWeight(peer)
	if sameZone {
		s.zoneWeights[peer] = readerWeight(peer)
	}
	s.silentFrom[peer] = time.Now().Add(maxPeerSilence)
}

// peerHeard records that a peer has sent something.
func (s *topicSharing) peerHeard(now time.Time, peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, linked := s.linkedWeights[peer]; linked {
		s.silentFrom[peer] = now.Add(maxPeerSilence)
	}
}

// peerDisconnected removes a linked peer and ends the reads that were sent to it.
func (s *topicSharing) peerDisconnected(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.zoneWeights, peer)
	delete(s.linkedWeights, peer)
	delete(s.avoidUntil, peer)
	delete(s.silentFrom, peer)
	for number, pending := range s.pending {
		if pending.peer == peer {
			delete(s.pending, number)
			close(pending.reply)
		}
	}
}

// zoneReader returns the peer of the availability zone to read through, or "" if this router reads the store itself.
func (s *topicSharing) zoneReader(now time.Time) string {
	return s.highestWeightPeer(now, s.zoneWeights, readerWeight(s.routerName))
}

// fallbackPeer returns the peer to ask while the store does not reply to this router, or "" if there is none.
func (s *topicSharing) fallbackPeer(now time.Time) string {
	return s.highestWeightPeer(now, s.linkedWeights, 0)
}

// highestWeightPeer returns the peer with the highest weight above minWeight that is neither avoided nor silent, or "" if there is none.
func (s *topicSharing) highestWeightPeer(now time.Time, peers map[string]uint64, minWeight uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, bestWeight := "", minWeight
	for peer, weight := range peers {
		if weight > bestWeight && !now.Before(s.avoidUntil[peer]) && now.Before(s.silentFrom[peer]) {
			best, bestWeight = peer, weight
		}
	}
	return best
}

// sendRead sends a read to a peer. It returns the number of the read and the channel for its reply.
func (s *topicSharing) sendRead(peer string, read *fleetpb.TopicRead) (number uint64, reply chan *fleetpb.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	// The message is copied, because an earlier one that was sent with the same read may not be encoded yet.
	numbered := &fleetpb.TopicRead{Number: s.lastNumber, Topic: read.GetTopic(), Newest: read.GetNewest(), From: read.GetFrom(), Era: read.GetEra()}
	pending := pendingRead{peer: peer, reply: make(chan *fleetpb.TopicPage, 1)}
	s.pending[numbered.Number] = pending
	s.send(peer, &fleetpb.Body{Kind: &fleetpb.Body_TopicRead{TopicRead: numbered}})
	return numbered.Number, pending.reply
}

// forgetRead removes a pending read. A later reply to it is ignored.
func (s *topicSharing) forgetRead(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}

// avoidPeer excludes a peer until the given time and logs the cause.
func (s *topicSharing) avoidPeer(until time.Time, peer string, topic string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[peer] = until
	event.StoreUnshared.Log(s.logger, topic, peer, cause)
}

// handleTopicPage delivers a peer's reply to the read that waits for it.
func (s *topicSharing) handleTopicPage(from string, reply *fleetpb.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending, found := s.pending[reply.GetNumber()]; found && pending.peer == from {
		delete(s.pending, reply.GetNumber())
		pending.reply <- reply
	}
}
