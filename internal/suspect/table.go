package suspect

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/cursor"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Table is a router's table of suspects. It is a fold of the log stream, and of what peers tell while the log is slow
// or down.
type Table struct {
	limits   Limits
	self     string
	evidence *evidence
	cursor   *cursor.Cursor
	// peers are the linked routers with the records that they need to be told, in the order of the names.
	peers []*peer
	// unlogged are the records that were not read from the log yet.
	unlogged []*record
	flight   uint64
	number   uint64
	next     time.Time
	sweep    time.Time
	dropped  int
}

// NewTable returns an empty table; it fills from the beginning of the stream.
func NewTable(self string, limits Limits) *Table {
	return &Table{limits: limits, self: self, evidence: newEvidence(limits.MaxRecords), cursor: cursor.New(Stream)}
}

// Classify returns what to do with a request.
func (t *Table) Classify(now time.Time, fingerprint uint64) Verdict {
	t.expire(now)
	return t.evidence.verdict(fingerprint)
}

// RecordCrash takes the fingerprints of this router's requests that were on a target when it crashed. The crash id names
// the target and the incarnation that crashed, so that all routers name the same crash in the same way.
func (t *Table) RecordCrash(now time.Time, target, crash string, fingerprints []uint64) {
	t.expire(now)
	suspects := make(map[uint64]bool)
	for _, fingerprint := range fingerprints {
		suspects[fingerprint] = t.evidence.known(fingerprint, crash)
	}
	for _, fingerprint := range fingerprints {
		others := false
		for other, suspect := range suspects {
			others = others || suspect && other != fingerprint
		}
		t.tell(now, &fleetpb.CrashRecord{
			Fingerprint: fingerprint, Target: target, Crash: crash,
			Expiry: now.Add(t.limits.RecordLifetime).UnixMilli(), Alone: !others,
		})
	}
}

// tell adds a record of this router and queues it for the peers and the log.
func (t *Table) tell(now time.Time, told *fleetpb.CrashRecord) {
	if !valid(told) {
		t.dropped++
		return
	}
	added, isNew := t.evidence.add(told)
	if added.own {
		return
	}
	if isNew {
		t.unlogged = append(t.unlogged, added)
	}
	added.own, added.due = true, now
	for _, peer := range t.peers {
		peer.news = append(peer.news, added.message())
	}
}

// Receive takes the crash records of a peer; other messages are ignored.
func (t *Table) Receive(now time.Time, _ string, body *fleetpb.Body) {
	for _, told := range body.GetCrashRecords().GetRecords() {
		if !t.accepts(now, told) {
			continue
		}
		if added, isNew := t.evidence.add(told); isNew {
			added.due = t.adoption(now, added)
			t.unlogged = append(t.unlogged, added)
		}
	}
}

// accepts tells whether a record is neither garbage nor past its expiry.
func (t *Table) accepts(now time.Time, told *fleetpb.CrashRecord) bool {
	if !valid(told) || told.GetExpiry() > now.Add(t.limits.RecordLifetime+t.limits.MaxClockSkew).UnixMilli() {
		t.dropped++
		return false
	}
	return told.GetExpiry() > now.UnixMilli()
}

// adoption returns the instant at which this router appends the record of a peer, unless it is in the log by then.
func (t *Table) adoption(now time.Time, adopted *record) time.Time {
	hash := xxhash.Sum64String(t.self + "|" + adopted.crash + "|" + strconv.FormatUint(adopted.fingerprint, 16))
	spread := time.Duration(hash % uint64(t.limits.PeerAppendDelay.Milliseconds()))
	return now.Add(t.limits.PeerAppendDelay + spread*time.Millisecond)
}

// Page takes records that were read from the log.
func (t *Table) Page(now time.Time, stream string, page outside.Page) {
	if stream != Stream {
		return
	}
	if t.cursor.FailingFor(now, 0) {
		for _, each := range t.unlogged {
			if !each.own {
				each.due = t.adoption(now, each)
			}
		}
	}
	records, _ := t.cursor.Advance(page)
	for _, each := range records {
		told, ok := decode(each.Data)
		if !ok {
			t.dropped++
		}
		for _, record := range told {
			if t.accepts(now, record) {
				added, _ := t.evidence.add(record)
				added.logged = true
			}
		}
	}
}

// ReadFailed notes that the stream could not be read.
func (t *Table) ReadFailed(now time.Time, stream string) {
	if stream == Stream {
		t.cursor.Failed(now)
	}
}

// Appended takes the result of an append. A record counts as logged only once it was read.
func (t *Table) Appended(now time.Time, id uint64, err error) {
	if id != t.flight {
		return
	}
	t.flight = 0
	if err != nil {
		t.next = now.Add(t.limits.RetryInterval)
	}
}

// Positions returns the stream to read and the offset to read from.
func (t *Table) Positions() []message.Position { return []message.Position{t.cursor.Position()} }

// Connected notes a new session to a peer. The peer is told what it cannot read from the log.
func (t *Table) Connected(now time.Time, name string, _ uint64) {
	t.Disconnected(now, name)
	t.expire(now)
	linked := &peer{name: name}
	for _, each := range t.evidence.sorted() {
		if !each.logged || t.cursor.FailingFor(now, 0) || !t.cursor.ReachedEnd() {
			linked.news = append(linked.news, each.message())
		}
	}
	place, _ := slices.BinarySearchFunc(t.peers, name, comparePeer)
	t.peers = slices.Insert(t.peers, place, linked)
}

// Disconnected notes the end of a session.
func (t *Table) Disconnected(_ time.Time, name string) {
	if place, found := slices.BinarySearchFunc(t.peers, name, comparePeer); found {
		t.peers = slices.Delete(t.peers, place, place+1)
	}
}

// Tick returns the messages to send and the append to start.
func (t *Table) Tick(now time.Time) message.Effects {
	t.expire(now)
	var effects message.Effects
	for _, peer := range t.peers {
		effects.Envelopes = append(effects.Envelopes, peer.take()...)
	}
	if data := t.append(now); data != nil {
		effects.Appends = []message.Append{{ID: t.flight, Stream: Stream, Data: data}}
	}
	return effects
}

// append returns the data of the next append, or nil. One append is on its way at a time; a record that was not read
// within the pause after its append is appended again, which changes nothing if it was there.
func (t *Table) append(now time.Time) []byte {
	t.unlogged = slices.DeleteFunc(t.unlogged, func(r *record) bool {
		return r.logged || t.evidence.records[r.recordID] != r
	})
	if t.flight != 0 || now.Before(t.next) || t.cursor.FailingFor(now, 0) {
		return nil
	}
	var batch []*fleetpb.CrashRecord
	for _, each := range t.unlogged {
		if len(batch) < maxBatch && !now.Before(each.due) {
			each.due = now.Add(t.limits.RetryInterval)
			batch = append(batch, each.message())
		}
	}
	if len(batch) == 0 {
		return nil
	}
	data, err := encode(batch)
	if err != nil {
		t.dropped += len(batch)
		return nil
	}
	t.number++
	t.flight = t.number
	return data
}

// expire removes old records once a second.
func (t *Table) expire(now time.Time) {
	if !now.Before(t.sweep) {
		t.evidence.expire(now.UnixMilli())
		t.sweep = now.Add(time.Second)
	}
}

// RecordCount returns the number of crash records in the table.
func (t *Table) RecordCount() int { return len(t.evidence.records) }

// DroppedCount returns the number of log records and messages that were dropped as garbage.
func (t *Table) DroppedCount() int { return t.dropped }
