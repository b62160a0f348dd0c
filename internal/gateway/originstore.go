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
	// originSaveTimeout limits one write of origins, maxOriginWrites the number of writes that are not answered yet.
	originSaveTimeout = 2 * time.Second
	maxOriginWrites   = 4
	// maxSaveWait limits the time that the first event of a stream waits until the store holds its origin.
	maxSaveWait = 400 * time.Millisecond
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

// writeUnsaved writes origins to the store until ctx ends. While the store is slow, several writes are under way, so that a stream does not
// wait for the writes of others.
func (o *originStore) writeUnsaved(ctx context.Context) {
	underWay := make(chan struct{}, maxOriginWrites)
	for ctx.Err() == nil {
		o.awaitWanted(ctx)
		batch := o.origins.unsaved()
		record := batch.Record()
		if record == nil {
			continue
		}
		select {
		case underWay <- struct{}{}:
		case <-ctx.Done():
			return
		}
		nextAt := time.Now().Add(o.saveInterval())
		o.origins.withDirectory(func(directory *origin.Directory, _ time.Time) { directory.Saving(batch) })
		go func() {
			defer func() { <-underWay }()
			o.write(ctx, batch, record)
		}()
		sleepUntil(ctx, nextAt)
	}
}

// awaitWanted waits until the origin of a stream is wanted in the store, for the time between two writes at most.
func (o *originStore) awaitWanted(ctx context.Context) {
	timer := time.NewTimer(o.saveInterval())
	defer timer.Stop()
	select {
	case <-o.origins.saveWanted:
	case <-timer.C:
	case <-ctx.Done():
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
	}
	o.origins.saveEnded(batch, err == nil)
}

// saveEnded records the end of a write of a batch and wakes the streams that wait for it.
func (s *streamOrigins) saveEnded(batch origin.Batch, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if succeeded {
		s.directory.Saved(batch)
	} else {
		s.directory.NotSaved(batch)
	}
	s.saveFails = !succeeded
	close(s.saveChanged)
	s.saveChanged = make(chan struct{})
}

// awaitSaved waits until the store holds where a stream began, while its service has several builds: without that, nobody knows where the
// stream has to go on once all routers are lost. It does not wait for a store that does not answer.
func (s *streamOrigins) awaitSaved(ctx context.Context, stream origin.StreamID) {
	timer := time.NewTimer(maxSaveWait)
	defer timer.Stop()
	for changed := s.wantSave(stream); changed != nil; changed = s.wantSave(stream) {
		select {
		case <-changed:
		case <-timer.C:
			s.recordSaveFailure()
		case <-ctx.Done():
			return
		}
	}
}

// wantSave has the origin of a stream written to the store. It returns a channel that is closed at the end of the next write, nil if there is
// nothing to wait for.
func (s *streamOrigins) wantSave(stream origin.StreamID) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	from, known := s.directory.Find(now, stream)
	if !known || len(s.builds.Of(now, from.Service)) < 2 || s.directory.IsSaved(stream) {
		return nil
	}
	select {
	case s.saveWanted <- struct{}{}:
	default:
	}
	if s.saveFails {
		return nil
	}
	return s.saveChanged
}

// recordSaveFailure records that a stream has waited for the store in vain.
func (s *streamOrigins) recordSaveFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveFails = true
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
