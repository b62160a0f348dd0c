package gateway

import (
	"context"
	"errors"
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
