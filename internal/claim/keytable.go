package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// bucketMillis is the span of creation times of keys that are evicted together, in milliseconds.
const bucketMillis = 60_000

// KeyTable holds the state of the keys of one claim stream. It depends only on the records and on their times by the log's
// clock. A claim that is read while another one holds the key is void for good, even if the other one is released later,
// because its router was told that it does not hold the key. A KeyTable is not safe for concurrent use.
type KeyTable struct {
	windowMillis  int64
	maxSkewMillis int64
	entries       map[uuid.UUID]*entry
	// keysByBucket lists the keys by the bucket of their creation time.
	keysByBucket map[int64][]uuid.UUID
	// lastRecordUnixMilli is the latest time of any record by the log's clock, in Unix milliseconds.
	lastRecordUnixMilli int64
	// lostUntilUnixMilli is the latest creation time, in Unix milliseconds, of keys whose records may be missing.
	lostUntilUnixMilli int64
	// droppedCount counts the parts that DecodeBatch dropped.
	droppedCount int
	// answerBytes is the total size of the stored answers.
	answerBytes int
}

// NewKeyTable returns the table of an empty stream.
func NewKeyTable(limits Limits) *KeyTable {
	return &KeyTable{
		windowMillis:  limits.Window.Milliseconds(),
		maxSkewMillis: limits.MaxClockSkew.Milliseconds(),
		entries:       make(map[uuid.UUID]*entry),
		keysByBucket:  make(map[int64][]uuid.UUID),
	}
}

// KeyCount returns the number of keys in the table.
func (t *KeyTable) KeyCount() int { return len(t.entries) }

// MemoryBytes returns the approximate size of the table.
func (t *KeyTable) MemoryBytes() int { return len(t.entries)*entryBytes + t.answerBytes }

// DroppedCount returns how many parts of log records DecodeBatch has dropped.
func (t *KeyTable) DroppedCount() int { return t.droppedCount }

// LastRecordTime returns the latest time of any record by the log's clock.
func (t *KeyTable) LastRecordTime() time.Time { return time.UnixMilli(t.lastRecordUnixMilli) }

// MarkLost records that records written before a time may be missing. Keys that such records can concern count as expired.
func (t *KeyTable) MarkLost(before time.Time) {
	t.lostUntilUnixMilli = max(t.lostUntilUnixMilli, before.UnixMilli()+2*t.maxSkewMillis)
}

// Apply applies one log record and returns the records in it, including those that had no effect. Log records must be
// applied in the order of their offsets.
func (t *KeyTable) Apply(record external.Record) []Record {
	t.advanceTime(record.AppendedAt.UnixMilli())
	records, dropped := DecodeBatch(record.Data)
	t.droppedCount += dropped
	for _, batchRecord := range records {
		t.applyRecord(batchRecord, record.Offset, record.AppendedAt.UnixMilli())
	}
	return records
}

// applyRecord applies one record of a batch. Apart from expiry, whether a record is ignored depends only on the record and its
// own time, so that a table that began at a later offset never finds another claim to hold the key. Expiry also depends on other
// records, but it can only refuse a claim.
func (t *KeyTable) applyRecord(record Record, offset uint64, recordTime int64) {
	if t.isExpired(record.Key) || KeyUnixMilli(record.Key) > recordTime+2*t.maxSkewMillis {
		return
	}
	// An append can take effect long after its result was lost. A claim that is written after its deadline is ignored.
	if record.Kind == KindClaim && recordTime > record.DeadlineUnixMilli+t.maxSkewMillis {
		return
	}
	keyEntry := t.entries[record.Key]
	if keyEntry == nil {
		if record.Kind == KindDone {
			return
		}
		keyEntry = &entry{}
		t.entries[record.Key] = keyEntry
		bucket := KeyUnixMilli(record.Key) / bucketMillis
		t.keysByBucket[bucket] = append(t.keysByBucket[bucket], record.Key)
	}
	switch record.Kind {
	case KindClaim:
		keyEntry.applyClaim(record, offset)
	case KindDone:
		oldSize := len(keyEntry.answer)
		keyEntry.applyDone(record)
		t.answerBytes += len(keyEntry.answer) - oldSize
	case KindRelease:
		keyEntry.applyRelease(record.ClaimID)
	}
}

// advanceTime updates the latest record time and evicts the keys that are too old to be claimed.
func (t *KeyTable) advanceTime(recordTime int64) {
	if recordTime <= t.lastRecordUnixMilli {
		return
	}
	oldLimit := (t.lastRecordUnixMilli - t.windowMillis) / bucketMillis
	t.lastRecordUnixMilli = recordTime
	limit := (recordTime - t.windowMillis) / bucketMillis
	if limit == oldLimit {
		return
	}
	for bucket, keys := range t.keysByBucket {
		if bucket >= limit {
			continue
		}
		for _, key := range keys {
			t.answerBytes -= len(t.entries[key].answer)
			delete(t.entries, key)
		}
		delete(t.keysByBucket, bucket)
	}
}

// isExpired reports whether a key is older than Limits.Window by the log's clock, or so old that records of it may be missing.
func (t *KeyTable) isExpired(key uuid.UUID) bool {
	keyTime := KeyUnixMilli(key)
	return keyTime <= t.lostUntilUnixMilli || t.lastRecordUnixMilli > keyTime+t.windowMillis
}

// Classify returns the answer to a claim according to the records applied so far. It returns false if there is none yet,
// because no claim holds the key and this one can still get it once its record is read.
func (t *KeyTable) Classify(now time.Time, record Record) (*fleetpb.ClaimVerdict, bool) {
	verdict := &fleetpb.ClaimVerdict{Claim: record.ClaimID, Key: record.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_UNKNOWN}
	if t.isExpired(record.Key) {
		return verdict, true
	}
	keyEntry := t.entries[record.Key]
	if keyEntry == nil || keyEntry.holdingClaim == "" {
		return verdict, keyEntry.isVoid(record.ClaimID)
	}
	verdict.Deadline, verdict.Offset = keyEntry.deadlineUnixMilli, keyEntry.offset
	switch {
	case keyEntry.customer != record.Customer || keyEntry.bodyHash != truncatedBodyHash(record):
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_CONFLICT
	case keyEntry.answered:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_DONE
		verdict.Status, verdict.Answer = keyEntry.status, []byte(keyEntry.answer)
	case keyEntry.holdingClaim == record.ClaimID:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_HELD
	case now.UnixMilli() < keyEntry.deadlineUnixMilli:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_BUSY
	}
	return verdict, true
}

// IsStored reports whether an answer or a release does not have to be appended, because it is in the log already or the key
// has expired.
func (t *KeyTable) IsStored(record Record) bool {
	keyEntry := t.entries[record.Key]
	switch {
	case t.isExpired(record.Key):
		return true
	case keyEntry == nil:
		return false
	case record.Kind == KindRelease:
		return keyEntry.isVoid(record.ClaimID) || keyEntry.holdingClaim == record.ClaimID && keyEntry.answered
	default:
		return keyEntry.holdingClaim == record.ClaimID && keyEntry.answered
	}
}
