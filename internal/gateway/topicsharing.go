package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
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

// heldRead is a read of a peer that waits for new records.
type heldRead struct {
	peer       string
	topic      *sharedTopic
	read       *fleetpb.TopicRead
	receivedAt boottime.Instant
	holdUntil  time.Time
}

// newTopicSharing returns the topic sharing of a router without links. send is called with mu held and must not block.
func newTopicSharing(routerName string, logger zerolog.Logger, send func(to string, body *fleetpb.Body)) *topicSharing {
	return &topicSharing{
		routerName: routerName, logger: logger, send: send, topics: make(map[string]*sharedTopic),
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

// handleTopicRead answers a read of a peer or holds it until there are new records.
func (s *topicSharing) handleTopicRead(now time.Time, from string, read *fleetpb.TopicRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	topic, found := s.topics[read.GetTopic()]
	if !found {
		s.sendReply(from, &fleetpb.TopicPage{Number: read.GetNumber(), Unknown: true})
		return
	}
	held := heldRead{peer: from, topic: topic, read: read, receivedAt: boottime.Now(), holdUntil: now.Add(topic.holdTime)}
	if !s.tryAnswer(now, &held) {
		s.held = append(s.held, held)
	}
}

// answerDue answers the held reads that are due.
func (s *topicSharing) answerDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerHeld(now)
}

// answerHeld answers the held reads for which there are new records or whose hold time is over. The caller must hold s.mu.
func (s *topicSharing) answerHeld(now time.Time) {
	kept := s.held[:0]
	for i := range s.held {
		if !s.tryAnswer(now, &s.held[i]) {
			kept = append(kept, s.held[i])
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// tryAnswer answers a read unless it should be held. It reports whether it has answered. Reads are answered at once while
// the cached records are too old, so that the peer reads the store itself. The caller must hold s.mu.
func (s *topicSharing) tryAnswer(now time.Time, held *heldRead) bool {
	cache := held.topic.cache
	stale := held.topic.failing || boottime.Now().Sub(cache.CompleteAsOf()) > held.topic.maxAge
	newest := held.read.GetNewest()
	sameEra := held.read.GetEra() == cache.Era()
	if !newest && !stale && sameEra && cache.NextOffset() <= held.read.GetFrom() && now.Before(held.holdUntil) {
		return false
	}
	page, known := cache.ChangesSince(held.read.GetFrom())
	if newest {
		page, known = cache.Newest()
	}
	known = known && !held.topic.failing
	reply := &fleetpb.TopicPage{Number: held.read.GetNumber(), Unknown: !known, Era: page.Era}
	if known {
		reply.Next = page.NextOffset
		reply.Known = cache.CompleteAsOf().Sub(held.receivedAt).Microseconds()
		for _, record := range page.Records {
			reply.Records = append(reply.Records, &fleetpb.TopicRecord{
				Key: record.Key, Value: record.Value, Removed: record.Value == nil, Offset: record.Offset,
			})
		}
	}
	s.sendReply(held.peer, reply)
	return true
}

// sendReply sends a reply to a read of a peer.
func (s *topicSharing) sendReply(peer string, reply *fleetpb.TopicPage) {
	s.send(peer, &fleetpb.Body{Kind: &fleetpb.Body_TopicPage{TopicPage: reply}})
}

// sharedTopic is a topic of the store that is read through a peer if possible. ReadNewest and Read must be called by
// one goroutine only.
type sharedTopic struct {
	topiclog.Topic

	name    string
	sharing *topicSharing
	// holdTime is how long reads of peers are held without news, maxAge the age of records from a peer up to which they are used.
	holdTime, maxAge time.Duration
	// cache holds the newest records for replies to peers. failing is set if the last read of the store failed. Both are guarded by
	// sharing.mu.
	cache   *topiclog.Cache
	failing bool
	// currentPeer is the peer that was asked last, or "" if the store was read.
	currentPeer string
	// preferPeersUntil is the time until which peers are asked before the store, because the store did not reply.
	preferPeersUntil time.Time
}

// ReadNewest returns the newest record of each key.
func (t *sharedTopic) ReadNewest(ctx context.Context) (topiclog.Page, error) {
	askedAt := boottime.Now()
	page, err := t.readShared(ctx, &fleetpb.TopicRead{Topic: t.name, Newest: true}, func() (topiclog.Page, error) {
		return t.Topic.ReadNewest(ctx)
	})
	if err == nil {
		t.updateCache(page, askedAt, t.cache.Reset)
	}
	return page, err
}

// Read returns the records from an offset on.
func (t *sharedTopic) Read(ctx context.Context, from uint64, deadline time.Time) (topiclog.Page, error) {
	askedAt := boottime.Now()
	page, err := t.readShared(ctx, &fleetpb.TopicRead{Topic: t.name, From: from, Era: t.era()}, func() (topiclog.Page, error) {
		return t.Topic.Read(ctx, from, deadline)
	})
	if err == nil {
		t.updateCache(page, askedAt, t.cache.Apply)
	}
	return page, err
}

// readShared asks the zone's reader, then the store, then a fallback peer. For preferPeersTime after the store did not
// reply, a router without a zone reader asks the fallback peer before the store.
func (t *sharedTopic) readShared(
	ctx context.Context, read *fleetpb.TopicRead, readStore func() (topiclog.Page, error),
) (topiclog.Page, error) {
	now := time.Now()
	peer, avoidTime := t.sharing.zoneReader(now), readerAvoidTime
	if peer == "" && now.Before(t.preferPeersUntil) {
		peer, avoidTime = t.sharing.fallbackPeer(now), fallbackAvoidTime
	}
	if page, ok := t.readFromPeer(ctx, peer, avoidTime, read); ok {
		t.setFailing(false)
		return page, nil
	}
	page, err := readStore()
	var expired *topiclog.ExpiredError
	if err == nil || errors.As(err, &expired) || ctx.Err() != nil {
		t.setFailing(false)
		return page, err
	}
	t.setFailing(true)
	t.preferPeersUntil = time.Now().Add(preferPeersTime)
	if page, ok := t.readFromPeer(ctx, t.sharing.fallbackPeer(time.Now()), fallbackAvoidTime, read); ok {
		t.setFailing(false)
		return page, nil
	}
	return page, err
}

// setFailing records whether the records of the topic cannot be read now, and answers the held reads if so, so that the peers read them
// elsewhere.
func (t *sharedTopic) setFailing(failing bool) {
	t.sharing.mu.Lock()
	defer t.sharing.mu.Unlock()
	if t.failing == failing {
		return
	}
	t.failing = failing
	t.sharing.answerHeld(time.Now())
}

// updateCache stores a page in the cache and answers the held reads of peers that wait for it.
func (t *sharedTopic) updateCache(page topiclog.Page, askedAt boottime.Instant, apply func(topiclog.Page, boottime.Instant)) {
	t.sharing.mu.Lock()
	defer t.sharing.mu.Unlock()
	apply(page, askedAt.Add(page.AsOf))
	t.sharing.answerHeld(time.Now())
}

// era returns the newest era of the store that this router has seen.
func (t *sharedTopic) era() uint64 {
	t.sharing.mu.Lock()
	defer t.sharing.mu.Unlock()
	return t.cache.Era()
}

// readFromPeer reads through a peer. It reports whether there is a usable reply. If not, the peer is avoided for
// avoidTime. With an empty peer it returns false.
func (t *sharedTopic) readFromPeer(
	ctx context.Context, peer string, avoidTime time.Duration, read *fleetpb.TopicRead,
) (topiclog.Page, bool) {
	if peer != t.currentPeer {
		t.currentPeer = peer
		event.StoreShared.Log(t.sharing.logger, t.name, peer)
	}
	if peer == "" {
		return topiclog.Page{}, false
	}
	askedAt := boottime.Now()
	reply, err := t.awaitReply(ctx, peer, read)
	if err == nil {
		known := time.Duration(reply.GetKnown()) * time.Microsecond
		if reply.GetEra() >= t.era() && boottime.Now().Sub(askedAt.Add(known)) <= t.maxAge {
			return pageFromReply(reply, known), true
		}
		err = errRecordsStale
	}
	if ctx.Err() == nil {
		t.sharing.avoidPeer(time.Now().Add(avoidTime), peer, t.name, err)
	}
	return topiclog.Page{}, false
}

// awaitReply sends a read to a peer and waits for the reply.
func (t *sharedTopic) awaitReply(ctx context.Context, peer string, read *fleetpb.TopicRead) (*fleetpb.TopicPage, error) {
	number, replies := t.sharing.sendRead(peer, read)
	defer t.sharing.forgetRead(number)
	timer := time.NewTimer(t.holdTime + replySlack)
	defer timer.Stop()
	select {
	case reply, open := <-replies:
		switch {
		case !open:
			return nil, errLinkClosed
		case reply.GetUnknown():
			return nil, errRecordsUnknown
		}
		return reply, nil
	case <-timer.C:
		return nil, errReplyTimeout
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pageFromReply returns the page in a reply. known is the reply's Known, the time from the call until the instant as of
// which the page is complete.
func pageFromReply(reply *fleetpb.TopicPage, known time.Duration) topiclog.Page {
	page := topiclog.Page{NextOffset: reply.GetNext(), AsOf: known, Era: reply.GetEra(), FromPeer: true}
	for _, record := range reply.GetRecords() {
		decoded := topiclog.Record{Key: record.GetKey(), Offset: record.GetOffset()}
		if !record.GetRemoved() {
			decoded.Value = append([]byte{}, record.GetValue()...)
		}
		page.Records = append(page.Records, decoded)
	}
	return page
}
