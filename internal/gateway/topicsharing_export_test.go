package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// ReaderWeight exports readerWeight.
func ReaderWeight(router string) uint64 { return readerWeight(router) }

// TopicSharing exports the topic sharing of one router.
type TopicSharing struct{ *topicSharing }

// NewTopicSharing returns the topic sharing of a router without links.
func NewTopicSharing(routerName string, send func(to string, body *fleetpb.Body)) TopicSharing {
	return TopicSharing{newTopicSharing(routerName, topiclog.NewEraTracker(), zerolog.Nop(), send)}
}

// ShareTopic returns a topic that is read through a peer if possible.
func (s TopicSharing) ShareTopic(storeTopic topiclog.Topic) topiclog.Topic {
	return s.shareTopic("topic", storeTopic)
}

// ShareRareTopic is like ShareTopic for a topic that seldom changes.
func (s TopicSharing) ShareRareTopic(storeTopic topiclog.Topic) topiclog.Topic {
	return s.shareRareTopic("topic", storeTopic)
}

// ConnectPeer adds a linked peer of the same availability zone.
func (s TopicSharing) ConnectPeer(peer string) { s.peerConnected(peer, true) }

// DisconnectPeer removes a linked peer.
func (s TopicSharing) DisconnectPeer(peer string) { s.peerDisconnected(peer) }

// Receive handles a message of a peer.
func (s TopicSharing) Receive(from string, body *fleetpb.Body) {
	s.peerHeard(time.Now(), from)
	if body.GetHeartbeat() != nil {
		return
	}
	if read := body.GetTopicRead(); read != nil {
		s.handleTopicRead(time.Now(), from, read)
		return
	}
	s.handleTopicPage(from, body.GetTopicPage())
}

// AnswerDue answers the held reads that are due.
func (s TopicSharing) AnswerDue() { s.answerDue(time.Now()) }
