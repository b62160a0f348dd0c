package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

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
	newest, _ := t.sharing.eras.Newest()
	return max(t.cache.Era(), newest)
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
