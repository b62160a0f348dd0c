package gateway

import (
	"context"
	"errors"
	"maps"
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
	claims   *probeClaims
	suspects *suspects
	logger   zerolog.Logger
}

// Reset takes the newest record of every quarantine. Those that this router has written and the store has lost are written again.
func (q *quarantineStore) Reset(now time.Time, records []topiclog.Record) {
	present := make(map[uint64]bool)
	for _, record := range records {
		if fingerprint, err := strconv.ParseUint(record.Key, fingerprintBase, 64); err == nil {
			present[fingerprint] = true
		}
	}
	q.suspects.reloaded(present)
	q.Apply(now, records)
}

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

// Failed has claims written again that the store has lost. The handlers of the other topics log failures of the store.
func (q *quarantineStore) Failed(_ time.Time, err error) {
	var otherEra *topiclog.EraError
	if errors.As(err, &otherEra) && otherEra.Restored() {
		q.claims.mayHaveLost.Store(true)
	}
}

// writeUnsaved writes the beginnings and ends of quarantines to the store until ctx ends, and takes back the claims of probes that were not
// sent. What could not be written is tried again, and does not hold up the others.
func (q *quarantineStore) writeUnsaved(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	unsaved := make(map[uint64]quarantine.Stored)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, stored := range q.suspects.takeUnsaved() {
				unsaved[stored.Fingerprint] = stored
			}
			maps.DeleteFunc(unsaved, func(_ uint64, stored quarantine.Stored) bool { return q.write(ctx, stored) })
			claimsDue := q.claims.writeUnsent(ctx)
			claimsDue = q.claims.writeLost(ctx) || claimsDue
			if claimsDue || len(unsaved) > 0 {
				sleepUntil(ctx, time.Now().Add(saveRetryPause))
			}
		}
	}
}

// write writes one quarantine and reports whether the store has accepted it. The claims of one that has ended are removed.
func (q *quarantineStore) write(ctx context.Context, stored quarantine.Stored) bool {
	value, err := encodeStored(stored)
	if err != nil {
		event.Panicked.Log(q.logger, err, "")
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(saveTimeout))
	defer cancel()
	if stored.Records == nil {
		err = q.claims.remove(ctx, stored.Fingerprint)
	}
	if err == nil {
		err = q.topic.Put(ctx, strconv.FormatUint(stored.Fingerprint, fingerprintBase), value)
	}
	if err != nil && ctx.Err() != context.Canceled {
		event.QuarantineUnsaved.Log(q.logger, stored.Fingerprint, err)
	}
	return err == nil
}

// encodeStored returns the value of a record: the crash records of a quarantine, and nil for one that has ended.
func encodeStored(stored quarantine.Stored) ([]byte, error) {
	if stored.Records == nil {
		return nil, nil
	}
	return proto.Marshal(&fleetpb.CrashRecords{Records: stored.Records})
}
