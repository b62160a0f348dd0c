package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// saveInterval is the time between checks for quarantines that are not in the store yet.
	saveInterval = 100 * time.Millisecond
	// saveTimeout limits one write, saveRetryPause is the pause after one that failed.
	saveTimeout    = 2 * time.Second
	saveRetryPause = 500 * time.Millisecond
	// fingerprintBase is the base of the numbers in the keys of the topic.
	fingerprintBase = 16
)

// quarantineStore keeps quarantines in the store, for routers that start when no other one is there to tell them, and for those that are
// not linked. Its methods as a topiclog.Handler belong to one goroutine.
type quarantineStore struct {
	topic    topiclog.Topic
	suspects *suspects
	logger   zerolog.Logger
}

// Reset takes the newest record of every quarantine.
func (q *quarantineStore) Reset(now time.Time, records []topiclog.Record) { q.Apply(now, records) }

// Apply takes newer records. A removed record ends its quarantine.
func (q *quarantineStore) Apply(_ time.Time, records []topiclog.Record) {
	for _, record := range records {
		var crashes fleetpb.CrashRecords
		fingerprint, err := strconv.ParseUint(record.Key, fingerprintBase, 64)
		if err == nil {
			err = proto.Unmarshal(record.Value, &crashes)
		}
		if err != nil {
			event.RecordInvalid.Log(q.logger, "quarantine", record.Key, err)
			continue
		}
		q.suspects.receiveStored(fingerprint, crashes.GetRecords())
	}
}

// CaughtUp does nothing, because routers also tell each other of crashes.
func (q *quarantineStore) CaughtUp(boottime.Instant) {}

// Failed does nothing: the handlers of the other topics log failures of the store.
func (q *quarantineStore) Failed(time.Time, error) {}

// writeUnsaved writes the beginnings and ends of quarantines to the store until ctx ends.
func (q *quarantineStore) writeUnsaved(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, stored := range q.suspects.takeUnsaved() {
				q.write(ctx, stored)
			}
		}
	}
}

// write writes one quarantine, and retries until the store has accepted it or ctx ends.
func (q *quarantineStore) write(ctx context.Context, stored quarantine.Stored) {
	value, err := encodeStored(stored)
	if err != nil {
		event.Panicked.Log(q.logger, err, "")
		return
	}
	for ctx.Err() == nil {
		putCtx, cancel := context.WithDeadline(ctx, time.Now().Add(saveTimeout))
		err := q.topic.Put(putCtx, strconv.FormatUint(stored.Fingerprint, fingerprintBase), value)
		cancel()
		if err == nil {
			return
		}
		event.QuarantineUnsaved.Log(q.logger, stored.Fingerprint, err)
		sleepUntil(ctx, time.Now().Add(saveRetryPause))
	}
}

// encodeStored returns the value of a record: the crash records of a quarantine, and nil for one that has ended.
func encodeStored(stored quarantine.Stored) ([]byte, error) {
	if stored.Records == nil {
		return nil, nil
	}
	return proto.Marshal(&fleetpb.CrashRecords{Records: stored.Records})
}
