package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// heldRead is a read of a peer that waits for new records.
type heldRead struct {
	peer       string
	topic      *sharedTopic
	read       *fleetpb.TopicRead
	receivedAt boottime.Instant
	holdUntil  time.Time
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
	holdUntil := s.eras.ReadDeadline(now, now.Add(topic.holdTime))
	held := heldRead{peer: from, topic: topic, read: read, receivedAt: boottime.Now(), holdUntil: holdUntil}
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
