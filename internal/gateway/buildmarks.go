package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// maxMarkWait limits how long the streams that begin at a build wait for its mark, counted from the first of them.
	maxMarkWait = 500 * time.Millisecond
	// markInterval is the time between checks for marks to write again or to remove.
	markInterval = 250 * time.Millisecond
	// markTimeout limits one write of a mark.
	markTimeout = time.Second
	// markPollInterval is the pause between reads of the marks, whose records change with releases only.
	markPollInterval = 100 * time.Millisecond
	// markKeyBase is the base of the numbers in the keys of the topic.
	markKeyBase = 16
)

// buildMarks keeps in the store at which builds streams may have begun, for routers that start when no other one is there to tell them. A
// build is marked before the first stream begins at it. The methods as a topiclog.Handler belong to one goroutine.
type buildMarks struct {
	topic   topiclog.ConditionalTopic
	origins *streamOrigins
	eras    *topiclog.EraTracker
	logger  zerolog.Logger
	// byKey holds the builds of the records that were read.
	byKey map[string]origin.Origin
	// reader reads all marks for requests.
	reader *markReader
}

// newBuildMarks returns the marks in a topic, none of which has been read.
func newBuildMarks(
	topic topiclog.ConditionalTopic, origins *streamOrigins, eras *topiclog.EraTracker, logger zerolog.Logger,
) *buildMarks {
	m := &buildMarks{topic: topic, origins: origins, eras: eras, logger: logger, byKey: make(map[string]origin.Origin)}
	m.reader = &markReader{read: m.readAll}
	return m
}

// readAll reads all marks from the store, in addition to those that are known. It reports whether it succeeded.
func (m *buildMarks) readAll(ctx context.Context) bool {
	page, err := m.topic.ReadNewest(ctx)
	if err != nil {
		return false
	}
	m.eras.Observe(page.Era)
	reading := origin.MarkReading{Era: page.Era, NextOffset: page.NextOffset}
	for _, record := range page.Records {
		mark, ok := m.decode(record)
		if !ok {
			reading.Incomplete = true
			continue
		}
		reading.Marks = append(reading.Marks, mark)
		m.origins.mark(time.Now(), mark.Origin)
	}
	m.origins.takeReading(reading)
	return true
}

// Reset takes the newest record of every build. Builds whose marks the store has lost are marked again.
func (m *buildMarks) Reset(now time.Time, records []topiclog.Record) {
	clear(m.byKey)
	var marked []origin.Origin
	for _, record := range records {
		if mark, ok := m.decode(record); ok {
			m.byKey[record.Key] = mark.Origin
			marked = append(marked, mark.Origin)
		}
	}
	m.origins.resetMarks(now, marked)
}

// Apply takes newer records.
func (m *buildMarks) Apply(now time.Time, records []topiclog.Record) {
	for _, record := range records {
		if record.Value == nil {
			m.origins.unmark(m.byKey[record.Key])
			delete(m.byKey, record.Key)
			continue
		}
		if mark, ok := m.decode(record); ok {
			m.byKey[record.Key] = mark.Origin
			m.origins.mark(now, mark.Origin)
		}
	}
}

// CaughtUp does nothing, because the marks are read anew when it matters that none is missing.
func (m *buildMarks) CaughtUp(boottime.Instant) {}

// Failed does nothing unless the store has lost records: then it may have lost origins too. The handlers of the other topics log failures.
func (m *buildMarks) Failed(now time.Time, err error) {
	var expired *topiclog.ExpiredError
	var otherEra *topiclog.EraError
	if errors.As(err, &expired) || errors.As(err, &otherEra) && otherEra.Restored() {
		m.origins.storeRestored(now)
		m.origins.unsave()
	}
}

// decode returns the mark in a record. It logs an invalid one.
func (m *buildMarks) decode(record topiclog.Record) (origin.StoredMark, bool) {
	var stored fleetpb.StoredBuild
	if err := proto.Unmarshal(record.Value, &stored); err != nil {
		event.RecordInvalid.Log(m.logger, "builds", record.Key, err)
		return origin.StoredMark{}, false
	}
	build := origin.Origin{Service: stored.GetService(), Build: stored.GetBuild()}
	if markKey(build) != record.Key {
		event.RecordInvalid.Log(m.logger, "builds", record.Key, "the key is not that of the build")
		return origin.StoredMark{}, false
	}
	return origin.StoredMark{Origin: build, ConfirmedEra: stored.GetConfirmedEra()}, true
}

// markKey returns the key of the record of a build.
func markKey(build origin.Origin) string {
	return strconv.FormatUint(xxhash.Sum64String(build.Service+"\x00"+build.Build), markKeyBase)
}

// write writes the marks that are wanted, confirms those that are due, and removes outdated ones, until ctx ends.
func (m *buildMarks) write(ctx context.Context) {
	ticker := time.NewTicker(markInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.origins.markWanted:
		}
		m.writeDue(ctx)
	}
}

// writeDue writes what is due now. Nothing is, until the marks were read from the store itself.
func (m *buildMarks) writeDue(ctx context.Context) {
	if !m.origins.hasReading() && !m.reader.await(ctx) {
		return
	}
	for _, build := range m.origins.marksToWrite() {
		m.put(ctx, origin.StoredMark{Origin: build})
	}
	if len(m.origins.marksToConfirm())+len(m.origins.outdatedMarks()) == 0 || !m.reader.await(ctx) {
		return
	}
	reading := m.origins.lastReading()
	for _, build := range m.origins.marksToConfirm() {
		m.put(ctx, origin.StoredMark{Origin: build, ConfirmedEra: reading.Era})
	}
	for _, build := range m.origins.outdatedMarks() {
		m.remove(ctx, build, reading.NextOffset)
	}
}

// put writes the mark of a build. If this fails, it is still due.
func (m *buildMarks) put(ctx context.Context, mark origin.StoredMark) {
	value, err := proto.Marshal(&fleetpb.StoredBuild{Service: mark.Service, Build: mark.Build, ConfirmedEra: mark.ConfirmedEra})
	if err == nil {
		putCtx, cancel := context.WithDeadline(ctx, time.Now().Add(markTimeout))
		defer cancel()
		err = m.topic.Put(putCtx, markKey(mark.Origin), value)
	}
	if err != nil {
		event.OriginsUnsaved.Log(m.logger, "mark of "+mark.Service+" "+mark.Build, err)
		return
	}
	m.origins.markWritten(time.Now(), mark)
}

// remove removes the mark of a build unless the topic has changed since it was read up to an offset: a removal that takes effect late must not
// remove a newer mark. If this fails, the mark is still outdated.
func (m *buildMarks) remove(ctx context.Context, build origin.Origin, readTo uint64) {
	appendCtx, cancel := context.WithDeadline(ctx, time.Now().Add(markTimeout))
	defer cancel()
	err := m.topic.Append(appendCtx, readTo, []topiclog.Record{{Key: markKey(build)}})
	var conflict *topiclog.ConflictError
	switch {
	case err == nil:
		m.origins.unmark(build)
	case !errors.As(err, &conflict):
		event.OriginsUnsaved.Log(m.logger, "end of "+build.Service+" "+build.Build, err)
	}
}

// takeReading takes a read of all marks.
func (s *streamOrigins) takeReading(reading origin.MarkReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations.Take(time.Now(), reading)
}

// hasReading reports whether the marks were read from the store itself.
func (s *streamOrigins) hasReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.HasReading()
}

// lastReading returns the last read of all marks.
func (s *streamOrigins) lastReading() origin.MarkReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Last()
}

// storeRestored records that the store came back from an older copy.
func (s *streamOrigins) storeRestored(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations.Restored(now)
}

// resetMarks replaces the marked builds.
func (s *streamOrigins) resetMarks(now time.Time, marked []origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.builds.ResetMarks(now, marked) {
		s.want(now, lost)
	}
	s.marksLoaded = true
	s.notifyLoaded()
	s.notifyMarksChanged()
	s.wakeMarkWriter()
}

// mark records that a build is marked.
func (s *streamOrigins) mark(now time.Time, build origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.builds.IsMarked(build) {
		return
	}
	s.builds.Mark(now, build)
	if s.builds.IsMarked(build) {
		delete(s.wanted, build)
		s.notifyMarksChanged()
	}
}

// markWritten records that this router has marked a build.
func (s *streamOrigins) markWritten(now time.Time, mark origin.StoredMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds.MarkWritten(now, mark.Origin)
	delete(s.wanted, mark.Origin)
	s.notifyMarksChanged()
}

// unmark records that the mark of a build was removed.
func (s *streamOrigins) unmark(build origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds.Unmark(build)
}

// awaitMark waits until a build is marked, for maxMarkWait at most. It reports whether the build is marked.
func (s *streamOrigins) awaitMark(ctx context.Context, build origin.Origin) bool {
	for {
		waitUntil, changed := s.needMark(build)
		if changed == nil {
			return true
		}
		timer := time.NewTimer(time.Until(waitUntil))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// mayBeginUnmarked reports whether a stream may begin at a build that could not be marked: while another build is marked, an unknown stream
// may go on there.
func (s *streamOrigins) mayBeginUnmarked(build origin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return len(s.builds.Of(time.Now(), build.Service)) == 1
	}
	return !s.builds.HasOtherMark(build)
}

// heldTo returns the build at which the new streams of a service have to begin for now, empty if any will do.
func (s *streamOrigins) heldTo(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.HeldTo(time.Now(), s.builds, service)
}

// needMark has a build marked. It returns the time until which a stream should wait for it and a channel that is closed when marks were
// added. The channel is nil if the build is marked.
func (s *streamOrigins) needMark(build origin.Origin) (time.Time, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marksLoaded && s.builds.IsMarked(build) {
		return time.Time{}, nil
	}
	s.want(time.Now(), build)
	return s.wanted[build], s.marksChanged
}

// want adds a build to the wanted ones. The caller must hold s.mu.
func (s *streamOrigins) want(now time.Time, build origin.Origin) {
	if _, found := s.wanted[build]; !found {
		s.wanted[build] = now.Add(maxMarkWait)
		s.wakeMarkWriter()
	}
}

// wakeMarkWriter wakes the goroutine that writes marks.
func (s *streamOrigins) wakeMarkWriter() {
	select {
	case s.markWanted <- struct{}{}:
	default:
	}
}

// marksToWrite returns the builds to mark. There are none until the marks have been read. A wanted build that no target has had for long is
// forgotten.
func (s *streamOrigins) marksToWrite() (wanted []origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return nil
	}
	now := time.Now()
	for build := range s.wanted {
		if s.builds.IsMarked(build) || !slices.Contains(s.builds.Of(now, build.Service), build.Build) {
			delete(s.wanted, build)
			continue
		}
		if held := s.confirmations.HeldTo(now, s.builds, build.Service); held == "" || held == build.Build {
			wanted = append(wanted, build)
		}
	}
	return wanted
}

// marksToConfirm returns the builds whose marks are to be confirmed.
func (s *streamOrigins) marksToConfirm() []origin.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Due(time.Now(), s.builds)
}

// outdatedMarks returns the builds whose marks are outdated. There are none until the marks have been read.
func (s *streamOrigins) outdatedMarks() []origin.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded {
		return nil
	}
	return s.builds.Outdated(time.Now())
}

// notifyMarksChanged wakes those that wait for marks. The caller must hold s.mu.
func (s *streamOrigins) notifyMarksChanged() {
	close(s.marksChanged)
	s.marksChanged = make(chan struct{})
}

// notifyLoaded wakes those that wait for what the store holds, once all of it has been read. The caller must hold s.mu.
func (s *streamOrigins) notifyLoaded() {
	select {
	case <-s.loaded:
	default:
		if s.marksLoaded && s.streamsLoaded {
			close(s.loaded)
		}
	}
}
