package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// minOriginSaveInterval is the shortest time between writes of the origins of a router. What began since the last one is lost with
	// all routers. In a large fleet the routers write less often, originWritesPerSecond all together.
	minOriginSaveInterval = 100 * time.Millisecond
	originWritesPerSecond = 80
	// originSaveTimeout limits one write of origins.
	originSaveTimeout = 2 * time.Second
	// minLoadRetryDelay and maxLoadRetryDelay bound the random delay after a failed read of the origins.
	minLoadRetryDelay = 100 * time.Millisecond
	maxLoadRetryDelay = 400 * time.Millisecond
)

// originStore keeps in the store where the streams of this router began, while their service has several builds.
type originStore struct {
	topic   topiclog.Topic
	origins *streamOrigins
	logger  zerolog.Logger
	// routerCount returns the number of routers of the fleet.
	routerCount func() int
}

// load reads the origins in the store, and retries until it has read all of them or ctx ends.
func (o *originStore) load(ctx context.Context) {
	startedAt := time.Now()
	nextOffset := uint64(0)
	for ctx.Err() == nil {
		page, err := o.topic.Read(ctx, nextOffset, time.Now())
		var expired *topiclog.ExpiredError
		switch {
		case errors.As(err, &expired) && expired.OldestOffset != nextOffset:
			nextOffset = expired.OldestOffset
		case err != nil:
			sleepUntil(ctx, time.Now().Add(minLoadRetryDelay+rand.N(maxLoadRetryDelay-minLoadRetryDelay)))
		case len(page.Records) == 0:
			event.OriginsLoaded.Log(o.logger, o.origins.streamsRead(), time.Since(startedAt).Milliseconds())
			return
		default:
			nextOffset = page.NextOffset
			o.receive(page.Records)
		}
	}
}

// receive takes records of the store. It logs invalid ones.
func (o *originStore) receive(records []topiclog.Record) {
	for _, record := range records {
		var stored fleetpb.StoredOrigins
		if err := proto.Unmarshal(record.Value, &stored); err != nil {
			event.RecordInvalid.Log(o.logger, "origins", record.Key, err)
			continue
		}
		invalid := 0
		o.origins.withDirectory(func(directory *origin.Directory, now time.Time) { invalid = directory.ReceiveStored(now, &stored) })
		if invalid > 0 {
			event.RecordInvalid.Log(o.logger, "origins", record.Key, "names of a service or build are not valid")
		}
	}
}

// writeUnsaved writes origins to the store until ctx ends.
func (o *originStore) writeUnsaved(ctx context.Context) {
	for ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(o.saveInterval()))
		batch := o.origins.unsaved()
		if record := batch.Record(); record != nil {
			o.write(ctx, batch, record)
		}
	}
}

// saveInterval returns the time between two writes of this router.
func (o *originStore) saveInterval() time.Duration {
	return max(time.Duration(o.routerCount())*time.Second/originWritesPerSecond, minOriginSaveInterval)
}

// write writes one batch. After an error, its streams are part of the next batch, even if they may have been written.
func (o *originStore) write(ctx context.Context, batch origin.Batch, record *fleetpb.StoredOrigins) {
	value, err := proto.Marshal(record)
	if err == nil {
		putCtx, cancel := context.WithDeadline(ctx, time.Now().Add(originSaveTimeout))
		defer cancel()
		err = o.topic.Put(putCtx, "", value)
	}
	if err != nil {
		event.OriginsUnsaved.Log(o.logger, "origins", err)
		return
	}
	o.origins.withDirectory(func(directory *origin.Directory, _ time.Time) { directory.Saved(batch) })
}

// streamsRead records that the origins of the store have been read. It returns the number of streams that are known.
func (s *streamOrigins) streamsRead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamsLoaded = true
	s.notifyLoaded()
	return s.directory.Len()
}

// unsaved returns the streams that the store should hold: those of services with several builds.
func (s *streamOrigins) unsaved() origin.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	shared := make(map[string]bool)
	for _, service := range s.builds.SharedServices(now) {
		shared[service] = true
	}
	if len(shared) == 0 {
		return origin.Batch{}
	}
	return s.directory.Unsaved(now, func(service string) bool { return shared[service] })
}

// unsave records that the store may have lost the origins of this router.
func (s *streamOrigins) unsave() {
	s.withDirectory(func(directory *origin.Directory, _ time.Time) { directory.Unsave() })
}
