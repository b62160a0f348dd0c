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
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// holdSpan is how long a router holds a peer's question without new records.
	holdSpan = time.Second
	// answerSlack is how much later than that an answer may come.
	answerSlack = 400 * time.Millisecond
	// relayedAge is the age from which records of another router are not used. While the store is well, confirmations are up to
	// two waits old.
	relayedAge = 2*confirmWait + 300*time.Millisecond
	// avoidSpan is how long a reader is not asked that did not answer well, and helperSpan how long another router is not: it
	// may have lost its own reader a moment ago.
	avoidSpan  = 5 * time.Second
	helperSpan = time.Second
	// awaySpan is how long other routers are asked first after the store did not answer.
	awaySpan = 3 * time.Second
	// leastRevocation is the bound of revocation from which records of another router are fresh enough: their age and the
	// time to the next answer stay well below it.
	leastRevocation = 4 * time.Second
)

// Reasons for which a router reads the store itself although another one could answer.
var (
	errNoAnswer = errors.New("no answer in time")
	errUnknown  = errors.New("the records are not known there")
	errOld      = errors.New("the records are too old")
	errLost     = errors.New("the link has ended")
)

// sharing lets the routers of an availability zone read the store through one of them. Calls to the store are billed, and
// their number is limited for the fleet.
//
// Each router asks the peer of its availability zone that has the highest weight, if that is above its own, so that questions
// do not go round in a circle. A router whose question is not answered well reads the store itself and leaves the peer alone
// for a while. If the store does not answer either, it asks any other linked router: it may be cut off from the store alone.
type sharing struct {
	self   string
	logger zerolog.Logger
	send   func(to string, body *fleetpb.Body)

	mu     sync.Mutex
	topics map[string]*sharedTopic
	// linked holds the weights of the linked peers, near those of the ones in the availability zone.
	linked  map[string]uint64
	near    map[string]uint64
	avoided map[string]time.Time
	open    map[uint64]openQuestion
	held    []heldQuestion
	last    uint64
}

// openQuestion is a question to a peer.
type openQuestion struct {
	peer   string
	answer chan *fleetpb.TopicPage
}

// heldQuestion is a question of a peer that is held until there are new records.
type heldQuestion struct {
	from    string
	topic   *sharedTopic
	read    *fleetpb.TopicRead
	arrived boottime.Instant
	until   time.Time
}

// newSharing returns the sharing of a router without links.
func newSharing(self string, logger zerolog.Logger, send func(to string, body *fleetpb.Body)) *sharing {
	return &sharing{
		self: self, logger: logger, send: send, topics: make(map[string]*sharedTopic),
		linked: make(map[string]uint64), near: make(map[string]uint64),
		avoided: make(map[string]time.Time), open: make(map[uint64]openQuestion),
	}
}

// weightOf returns the weight of a router in the choice of the one that reads the store.
func weightOf(router string) uint64 { return rendezvous.Weight(xxhash.Sum64String(router), 0) }

// share returns a topic that is read through a peer if there is one.
func (s *sharing) share(name string, direct keyed.Topic) keyed.Topic {
	shared := &sharedTopic{Topic: direct, name: name, sharing: s, memory: keyed.NewCache()}
	s.topics[name] = shared
	return shared
}

// connected notes a session with a peer, which may be in the availability zone.
func (s *sharing) connected(peer string, near bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linked[peer] = weightOf(peer)
	if near {
		s.near[peer] = weightOf(peer)
	}
}

// disconnected notes the end of a session: its questions get no answer.
func (s *sharing) disconnected(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.near, peer)
	delete(s.linked, peer)
	delete(s.avoided, peer)
	for number, asked := range s.open {
		if asked.peer == peer {
			delete(s.open, number)
			close(asked.answer)
		}
	}
}

// reader returns the peer to ask, empty if this router reads the store itself.
func (s *sharing) reader(now time.Time) string { return s.highest(now, s.near, weightOf(s.self)) }

// helper returns the peer to ask while the store does not answer this router, empty if there is none.
func (s *sharing) helper(now time.Time) string { return s.highest(now, s.linked, 0) }

// highest returns the peer of the highest weight above a bound that is not left alone.
func (s *sharing) highest(now time.Time, peers map[string]uint64, above uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, highest := "", above
	for peer, weight := range peers {
		if weight > highest && !now.Before(s.avoided[peer]) {
			best, highest = peer, weight
		}
	}
	return best
}

// ask sends a question to a peer.
func (s *sharing) ask(peer string, read *fleetpb.TopicRead) (number uint64, answer chan *fleetpb.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	// A question that was sent before may still wait for its encoding.
	numbered := &fleetpb.TopicRead{Number: s.last, Topic: read.GetTopic(), Newest: read.GetNewest(), From: read.GetFrom()}
	asked := openQuestion{peer: peer, answer: make(chan *fleetpb.TopicPage, 1)}
	s.open[numbered.Number] = asked
	s.send(peer, &fleetpb.Body{Kind: &fleetpb.Body_TopicRead{TopicRead: numbered}})
	return numbered.Number, asked.answer
}

// giveUp forgets a question.
func (s *sharing) giveUp(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, number)
}

// avoid leaves a peer alone until an instant.
func (s *sharing) avoid(until time.Time, peer string, topic string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[peer] = until
	event.StoreUnshared.Log(s.logger, topic, peer, cause)
}

// answered hands an answer of a peer to whoever waits for it.
func (s *sharing) answered(from string, page *fleetpb.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked, found := s.open[page.GetNumber()]; found && asked.peer == from {
		delete(s.open, page.GetNumber())
		asked.answer <- page
	}
}

// asked takes a question of a peer.
func (s *sharing) asked(now time.Time, from string, read *fleetpb.TopicRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	topic, found := s.topics[read.GetTopic()]
	if !found {
		s.reply(from, &fleetpb.TopicPage{Number: read.GetNumber(), Unknown: true})
		return
	}
	question := heldQuestion{from: from, topic: topic, read: read, arrived: boottime.Now(), until: now.Add(holdSpan)}
	if !s.settle(now, &question) {
		s.held = append(s.held, question)
	}
}

// tick answers the questions that are due.
func (s *sharing) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(now)
}

// release answers the held questions for which there are new records, or that were held for long enough.
func (s *sharing) release(now time.Time) {
	kept := s.held[:0]
	for i := range s.held {
		if !s.settle(now, &s.held[i]) {
			kept = append(kept, s.held[i])
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// settle answers a question unless it shall be held; it reports whether it did. Records that are too old are told at once, so
// that the peer reads the store itself.
func (s *sharing) settle(now time.Time, question *heldQuestion) bool {
	memory := question.topic.memory
	old := boottime.Now().Sub(memory.CompleteAsOf()) > relayedAge
	newest := question.read.GetNewest()
	if !newest && !old && memory.NextOffset() <= question.read.GetFrom() && now.Before(question.until) {
		return false
	}
	page, known := memory.ChangesSince(question.read.GetFrom())
	if newest {
		page, known = memory.Newest()
	}
	answer := &fleetpb.TopicPage{Number: question.read.GetNumber(), Unknown: !known}
	if known {
		answer.Next = page.NextOffset
		answer.Known = memory.CompleteAsOf().Sub(question.arrived).Microseconds()
		for _, record := range page.Records {
			answer.Records = append(answer.Records, &fleetpb.TopicRecord{
				Key: record.Key, Value: record.Value, Removed: record.Value == nil, Offset: record.Offset,
			})
		}
	}
	s.reply(question.from, answer)
	return true
}

// reply sends an answer.
func (s *sharing) reply(to string, page *fleetpb.TopicPage) {
	s.send(to, &fleetpb.Body{Kind: &fleetpb.Body_TopicPage{TopicPage: page}})
}

// sharedTopic is a topic of the store that is read through a peer if there is one.
type sharedTopic struct {
	keyed.Topic

	name    string
	sharing *sharing
	memory  *keyed.Cache
	// source is the peer through which the topic is read, empty if it is read from the store.
	source string
	// away is the instant until which other routers are asked first, since the store did not answer.
	away time.Time
}

// ReadNewest returns the newest record of each key.
func (t *sharedTopic) ReadNewest(ctx context.Context) (keyed.Page, error) {
	asked := boottime.Now()
	page, err := t.read(ctx, &fleetpb.TopicRead{Topic: t.name, Newest: true}, func() (keyed.Page, error) {
		return t.Topic.ReadNewest(ctx)
	})
	if err == nil {
		t.remember(page, asked, t.memory.Reset)
	}
	return page, err
}

// Read returns the records from an offset on.
func (t *sharedTopic) Read(ctx context.Context, from uint64, deadline time.Time) (keyed.Page, error) {
	asked := boottime.Now()
	page, err := t.read(ctx, &fleetpb.TopicRead{Topic: t.name, From: from}, func() (keyed.Page, error) {
		return t.Topic.Read(ctx, from, deadline)
	})
	if err == nil {
		t.remember(page, asked, t.memory.Apply)
	}
	return page, err
}

// read asks the reader of the zone, then the store, then any other router; the other router comes first for a while after the
// store did not answer.
func (t *sharedTopic) read(ctx context.Context, question *fleetpb.TopicRead, direct func() (keyed.Page, error)) (keyed.Page, error) {
	now := time.Now()
	peer, span := t.sharing.reader(now), avoidSpan
	if peer == "" && now.Before(t.away) {
		peer, span = t.sharing.helper(now), helperSpan
	}
	if page, relayed := t.relayed(ctx, peer, span, question); relayed {
		return page, nil
	}
	page, err := direct()
	var expired *keyed.ExpiredError
	if err == nil || errors.As(err, &expired) || ctx.Err() != nil {
		return page, err
	}
	t.away = time.Now().Add(awaySpan)
	if page, relayed := t.relayed(ctx, t.sharing.helper(time.Now()), helperSpan, question); relayed {
		return page, nil
	}
	return page, err
}

// remember takes a page over into the memory, and answers the peers that wait for it.
func (t *sharedTopic) remember(page keyed.Page, asked boottime.Instant, take func(keyed.Page, boottime.Instant)) {
	t.sharing.mu.Lock()
	defer t.sharing.mu.Unlock()
	take(page, asked.Add(page.AsOf))
	t.sharing.release(time.Now())
}

// relayed returns the answer of a peer; it reports whether there is a good one. Without a peer there is none. A peer that does
// not answer well is left alone for the span.
func (t *sharedTopic) relayed(
	ctx context.Context, peer string, span time.Duration, read *fleetpb.TopicRead,
) (keyed.Page, bool) {
	if peer != t.source {
		t.source = peer
		event.StoreShared.Log(t.sharing.logger, t.name, peer)
	}
	if peer == "" {
		return keyed.Page{}, false
	}
	asked := boottime.Now()
	answer, err := t.wait(ctx, peer, read)
	if err == nil {
		known := time.Duration(answer.GetKnown()) * time.Microsecond
		if boottime.Now().Sub(asked.Add(known)) <= relayedAge {
			return pageOf(answer, known), true
		}
		err = errOld
	}
	if ctx.Err() == nil {
		t.sharing.avoid(time.Now().Add(span), peer, t.name, err)
	}
	return keyed.Page{}, false
}

// wait asks a peer and waits for its answer.
func (t *sharedTopic) wait(ctx context.Context, peer string, read *fleetpb.TopicRead) (*fleetpb.TopicPage, error) {
	number, answers := t.sharing.ask(peer, read)
	defer t.sharing.giveUp(number)
	timer := time.NewTimer(holdSpan + answerSlack)
	defer timer.Stop()
	select {
	case answer, open := <-answers:
		switch {
		case !open:
			return nil, errLost
		case answer.GetUnknown():
			return nil, errUnknown
		}
		return answer, nil
	case <-timer.C:
		return nil, errNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pageOf returns the page of an answer.
func pageOf(answer *fleetpb.TopicPage, known time.Duration) keyed.Page {
	page := keyed.Page{NextOffset: answer.GetNext(), AsOf: known, FromPeer: true}
	for _, record := range answer.GetRecords() {
		read := keyed.Record{Key: record.GetKey(), Offset: record.GetOffset()}
		if !record.GetRemoved() {
			read.Value = append([]byte{}, record.GetValue()...)
		}
		page.Records = append(page.Records, read)
	}
	return page
}
