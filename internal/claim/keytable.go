package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// bucketMillis is the time span of keys that are evicted together.
const bucketMillis = 60_000

// Fold is the state of one claim stream. It depends only on the records and their instants by the log's clock. A claim
// that comes while another holds the key is void for good, also after a release of the other one, because its asker was
// told so.
type Fold struct {
	window  int64
	skew    int64
	entries map[uuid.UUID]*entry
	// buckets lists the keys by the minute in which they were made.
	buckets map[int64][]uuid.UUID
	// clock is the latest instant of any record, in Unix milliseconds.
	clock int64
	// horizon is the instant up to which records may be missing, in Unix milliseconds.
	horizon int64
	dropped int
	// answers is the size of all stored answers in bytes.
	answers int
}

// NewFold returns the fold of an empty stream.
func NewFold(limits Limits) *Fold {
	return &Fold{
		window:  limits.Window.Milliseconds(),
		skew:    limits.Skew.Milliseconds(),
		entries: make(map[uuid.UUID]*entry),
		buckets: make(map[int64][]uuid.UUID),
	}
}

// Keys returns the number of keys in the fold.
func (f *Fold) Keys() int { return len(f.entries) }

// Memory returns the approximate size of the fold in bytes.
func (f *Fold) Memory() int { return len(f.entries)*entrySize + f.answers }

// Dropped returns the number of parts that were dropped as garbage.
func (f *Fold) Dropped() int { return f.dropped }

// Clock returns the latest instant of any record by the log's clock.
func (f *Fold) Clock() time.Time { return time.UnixMilli(f.clock) }

// Lost notes that records from before an instant may be missing. Keys that such records can concern count as too old.
func (f *Fold) Lost(before time.Time) {
	f.horizon = max(f.horizon, before.UnixMilli()+2*f.skew)
}

// Apply folds one log record and returns the records that it joins.
func (f *Fold) Apply(record outside.Record) []Record {
	f.advance(record.At.UnixMilli())
	records, dropped := Decode(record.Data)
	f.dropped += dropped
	for _, each := range records {
		f.apply(each, record.Offset, record.At.UnixMilli())
	}
	return records
}

// apply folds one record. What makes a record void depends on nothing but the record and its own instant: a fold that
// began later than another one must not come to another holder. Only expiry depends on more, and it only refuses.
func (f *Fold) apply(record Record, offset uint64, at int64) {
	if f.expired(record.Key) || KeyTime(record.Key) > at+2*f.skew {
		return
	}
	// An append can take effect long after its answer was lost; a claim after its deadline holds nothing.
	if record.Kind == Claimed && at > record.Deadline+f.skew {
		return
	}
	found := f.entries[record.Key]
	if found == nil {
		if record.Kind == Done {
			return
		}
		found = &entry{}
		f.entries[record.Key] = found
		bucket := KeyTime(record.Key) / bucketMillis
		f.buckets[bucket] = append(f.buckets[bucket], record.Key)
	}
	switch record.Kind {
	case Claimed:
		found.claimed(record, offset)
	case Done:
		size := len(found.answer)
		found.finished(record)
		f.answers += len(found.answer) - size
	case Released:
		found.released(record.Claim)
	}
}

// advance moves the clock and evicts the keys that no claim is accepted for any more.
func (f *Fold) advance(at int64) {
	if at <= f.clock {
		return
	}
	last := (f.clock - f.window) / bucketMillis
	f.clock = at
	limit := (at - f.window) / bucketMillis
	if limit == last {
		return
	}
	for bucket, keys := range f.buckets {
		if bucket >= limit {
			continue
		}
		for _, key := range keys {
			f.answers -= len(f.entries[key].answer)
			delete(f.entries, key)
		}
		delete(f.buckets, bucket)
	}
}

// expired tells whether a key is too old by the log's clock, or so old that records of it may be missing.
func (f *Fold) expired(key uuid.UUID) bool {
	made := KeyTime(key)
	return made <= f.horizon || f.clock > made+f.window
}

// State returns what the log says to a claim, and false if the log says nothing yet: the claim was not read and would
// hold the key.
func (f *Fold) State(now time.Time, asked Record) (*fleetpb.ClaimVerdict, bool) {
	verdict := &fleetpb.ClaimVerdict{Claim: asked.Claim, Key: asked.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_UNKNOWN}
	if f.expired(asked.Key) {
		return verdict, true
	}
	found := f.entries[asked.Key]
	if found == nil || found.claim == "" {
		return verdict, found.has(asked.Claim)
	}
	verdict.Deadline, verdict.Offset = found.deadline, found.offset
	switch {
	case found.customer != asked.Customer || found.bodyHash != shortHash(asked):
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_CONFLICT
	case found.done:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_DONE
		verdict.Status, verdict.Answer = found.status, []byte(found.answer)
	case found.claim == asked.Claim:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_HELD
	case now.UnixMilli() < found.deadline:
		verdict.State = fleetpb.ClaimState_CLAIM_STATE_BUSY
	}
	return verdict, true
}

// Stored tells whether an answer or a release needs no record any more.
func (f *Fold) Stored(asked Record) bool {
	found := f.entries[asked.Key]
	switch {
	case f.expired(asked.Key):
		return true
	case found == nil:
		return false
	case asked.Kind == Released:
		return found.has(asked.Claim) || found.claim == asked.Claim && found.done
	default:
		return found.claim == asked.Claim && found.done
	}
}
