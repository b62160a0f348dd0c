package suspect

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/cursor"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Table is a router's table of suspects. It is built from the log stream and, while the log is slow or down, from the records
// that peers send. It is not safe for concurrent use.
//
// The caller reads the stream of Positions continuously and passes the results to Page and ReadFailed.
type Table struct {
	limits  Limits
	self    string
	records *recordSet
	cursor  *cursor.Cursor
	// peers holds the routers with a session, sorted by name.
	peers []*peer
	// notInLog holds the records that have not been read from the log yet.
	notInLog []*record
	// inFlightAppendID is the id of the append that has no result yet, or 0. At most one append is in flight.
	inFlightAppendID uint64
	// lastAppendID is the id of the newest append.
	lastAppendID uint64
	// retryAppendAt is the earliest time of the next append after a failed one.
	retryAppendAt time.Time
	// nextExpiryAt is the earliest time of the next removal of expired records.
	nextExpiryAt time.Time
	// droppedCount is the value of DroppedCount.
	droppedCount int
}

// NewTable returns an empty table of the router self. The table asks for the stream from its beginning.
func NewTable(self string, limits Limits) *Table {
	return &Table{limits: limits, self: self, records: newRecordSet(limits.MaxRecords), cursor: cursor.New(Stream)}
}

// Classify returns the verdict on the request with a fingerprint.
func (t *Table) Classify(now time.Time, fingerprint uint64) Verdict {
	t.removeExpired(now)
	return t.records.verdict(fingerprint)
}

// RecordCrash adds crash records for this router's requests that were on a target when it crashed. The crash id names the target
// and its incarnation, so that all routers use the same id for the same crash. It may be called more than once for a crash.
func (t *Table) RecordCrash(now time.Time, target, crashID string, fingerprints []uint64) {
	t.removeExpired(now)
	wasSuspect := make(map[uint64]bool)
	for _, fingerprint := range fingerprints {
		wasSuspect[fingerprint] = t.records.hasOtherCrash(fingerprint, crashID)
	}
	for _, fingerprint := range fingerprints {
		withOtherSuspect := false
		for other, suspected := range wasSuspect {
			withOtherSuspect = withOtherSuspect || suspected && other != fingerprint
		}
		t.addLocal(now, &fleetpb.CrashRecord{
			Fingerprint: fingerprint, Target: target, Crash: crashID,
			Expiry: now.Add(t.limits.RecordLifetime).UnixMilli(), Alone: !withOtherSuspect,
		})
	}
}

// addLocal adds a crash record of this router and queues it for the peers and the log.
func (t *Table) addLocal(now time.Time, crashRecord *fleetpb.CrashRecord) {
	if !isValid(crashRecord) {
		t.droppedCount++
		return
	}
	added, isNew := t.records.add(crashRecord)
	if added.local {
		return
	}
	if isNew {
		t.notInLog = append(t.notInLog, added)
	}
	added.local, added.nextAppendAt = true, now
	for _, peer := range t.peers {
		peer.unsent = append(peer.unsent, added.toProto())
	}
}

// Receive handles the crash records of a peer and ignores other messages.
func (t *Table) Receive(now time.Time, _ string, body *fleetpb.Body) {
	for _, crashRecord := range body.GetCrashRecords().GetRecords() {
		if !t.accept(now, crashRecord) {
			continue
		}
		if added, isNew := t.records.add(crashRecord); isNew {
			added.nextAppendAt = t.peerAppendTime(now, added)
			t.notInLog = append(t.notInLog, added)
		}
	}
}

// accept reports whether a crash record from a peer or the log may be added: it must be valid and not expired. An invalid record
// or one that expires too late is counted as dropped.
func (t *Table) accept(now time.Time, crashRecord *fleetpb.CrashRecord) bool {
	if !isValid(crashRecord) || crashRecord.GetExpiry() > now.Add(t.limits.RecordLifetime+t.limits.MaxClockSkew).UnixMilli() {
		t.droppedCount++
		return false
	}
	return crashRecord.GetExpiry() > now.UnixMilli()
}

// peerAppendTime returns when this router appends the record of a peer, unless the record is in the log by then.
func (t *Table) peerAppendTime(now time.Time, rec *record) time.Time {
	hash := xxhash.Sum64String(t.self + "|" + rec.crashID + "|" + strconv.FormatUint(rec.fingerprint, 16))
	jitter := time.Duration(hash % uint64(t.limits.PeerAppendDelay.Milliseconds()))
	return now.Add(t.limits.PeerAppendDelay + jitter*time.Millisecond)
}

// Page handles a page that was read from a log stream. Other streams than Stream are ignored.
func (t *Table) Page(now time.Time, stream string, page external.Page) {
	if stream != Stream {
		return
	}
	// After failed reads the delay begins again, so that the routers that recorded the crashes can append them first.
	if t.cursor.FailingFor(now, 0) {
		for _, rec := range t.notInLog {
			if !rec.local {
				rec.nextAppendAt = t.peerAppendTime(now, rec)
			}
		}
	}
	logRecords, _ := t.cursor.Advance(page)
	for _, logRecord := range logRecords {
		crashRecords, ok := decodeRecords(logRecord.Data)
		if !ok {
			t.droppedCount++
		}
		for _, crashRecord := range crashRecords {
			if t.accept(now, crashRecord) {
				added, _ := t.records.add(crashRecord)
				added.inLog = true
			}
		}
	}
}

// ReadFailed records that a log stream could not be read.
func (t *Table) ReadFailed(now time.Time, stream string) {
	if stream == Stream {
		t.cursor.Failed(now)
	}
}

// Appended handles the result of an append. Even after a success, a record counts as in the log only once it has been read back.
func (t *Table) Appended(now time.Time, id uint64, err error) {
	if id != t.inFlightAppendID {
		return
	}
	t.inFlightAppendID = 0
	if err != nil {
		t.retryAppendAt = now.Add(t.limits.RetryInterval)
	}
}

// Positions returns the stream to read and the offset to read from.
func (t *Table) Positions() []message.Position { return []message.Position{t.cursor.Position()} }

// Connected records a new session with a peer. The peer is sent the records that it may be unable to read from the log: those
// that are not in it, or all of them while this router cannot read the log or has not reached its end.
func (t *Table) Connected(now time.Time, name string, _ uint64) {
	t.Disconnected(now, name)
	t.removeExpired(now)
	newPeer := &peer{name: name}
	for _, rec := range t.records.sortedByExpiry() {
		if !rec.inLog || t.cursor.FailingFor(now, 0) || !t.cursor.ReachedEnd() {
			newPeer.unsent = append(newPeer.unsent, rec.toProto())
		}
	}
	index, _ := slices.BinarySearchFunc(t.peers, name, comparePeerName)
	t.peers = slices.Insert(t.peers, index, newPeer)
}

// Disconnected records the end of a session.
func (t *Table) Disconnected(_ time.Time, name string) {
	if index, found := slices.BinarySearchFunc(t.peers, name, comparePeerName); found {
		t.peers = slices.Delete(t.peers, index, index+1)
	}
}

// Tick returns the messages to send and the append to start.
func (t *Table) Tick(now time.Time) message.Effects {
	t.removeExpired(now)
	var effects message.Effects
	for _, peer := range t.peers {
		effects.Envelopes = append(effects.Envelopes, peer.takeMessages()...)
	}
	if data := t.nextAppend(now); data != nil {
		effects.Appends = []message.Append{{ID: t.inFlightAppendID, Stream: Stream, Data: data}}
	}
	return effects
}

// nextAppend returns the data of the next append, or nil if there is none. A record that is not read back within the retry
// interval after its append is appended again, which has no effect if it was in the log already.
func (t *Table) nextAppend(now time.Time) []byte {
	t.notInLog = slices.DeleteFunc(t.notInLog, func(r *record) bool {
		return r.inLog || t.records.byID[r.recordID] != r
	})
	if t.inFlightAppendID != 0 || now.Before(t.retryAppendAt) || t.cursor.FailingFor(now, 0) {
		return nil
	}
	var batch []*fleetpb.CrashRecord
	for _, rec := range t.notInLog {
		if len(batch) < maxBatchRecords && !now.Before(rec.nextAppendAt) {
			rec.nextAppendAt = now.Add(t.limits.RetryInterval)
			batch = append(batch, rec.toProto())
		}
	}
	if len(batch) == 0 {
		return nil
	}
	data, err := encodeRecords(batch)
	if err != nil {
		t.droppedCount += len(batch)
		return nil
	}
	t.lastAppendID++
	t.inFlightAppendID = t.lastAppendID
	return data
}

// removeExpired removes expired records, at most once a second.
func (t *Table) removeExpired(now time.Time) {
	if !now.Before(t.nextExpiryAt) {
		t.records.removeExpired(now.UnixMilli())
		t.nextExpiryAt = now.Add(time.Second)
	}
}

// RecordCount returns the number of crash records in the table.
func (t *Table) RecordCount() int { return len(t.records.byID) }

// DroppedCount returns how many malformed log records and invalid crash records were dropped.
func (t *Table) DroppedCount() int { return t.droppedCount }
