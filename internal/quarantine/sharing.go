package quarantine

import (
	"maps"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

const (
	// maxNameBytes is the maximum length of a target's name and of a crash id in a record.
	maxNameBytes = 256
	// maxBatchRecords is the maximum number of records in one message.
	maxBatchRecords = 1000
)

// Receive handles the crash records of a peer. If a request with the fingerprint was just answered here, the record is cleared, and
// only the sender is told: many routers may do so at the same time, and the one that recorded the crash tells the others. It returns the
// number of invalid records, which are dropped.
func (t *Tracker) Receive(now time.Time, from string, received []*fleetpb.CrashRecord) (invalid int) {
	latestExpiry := now.Add(t.limits.RecordLifetime).UnixMilli()
	for _, crashRecord := range received {
		if !isValid(crashRecord) {
			invalid++
			continue
		}
		if crashRecord.GetExpiry() <= now.UnixMilli() {
			continue
		}
		crashRecord.Expiry = min(crashRecord.GetExpiry(), latestExpiry)
		found, merged, changed := t.add(now, crashRecord)
		if changed && (merged.own || t.relays) {
			t.send(crashRecord)
		}
		if found.crashCount > 0 && t.wasAnswered(now, found.fingerprint) {
			t.tellCleared(from, t.clear(found))
		}
	}
	return invalid
}

// tellCleared tells the peer that sent records that they are cleared, and all peers if this router passes records on.
func (t *Tracker) tellCleared(from string, cleared []*fleetpb.CrashRecord) {
	if t.relays {
		t.send(cleared...)
		return
	}
	t.sendTo(from, cleared...)
}

// SetRelays sets whether this router passes on what changes by the records of a peer, because its peers are not all linked with each other.
// A record that changes nothing goes no further, so that each relay passes it on once.
func (t *Tracker) SetRelays(relays bool) { t.relays = relays }

// Connected records a new link to a peer, which is sent all records.
func (t *Tracker) Connected(peer string) {
	t.unsent[peer] = nil
	t.hasUnsent = true
	for _, fingerprint := range slices.Sorted(maps.Keys(t.suspects)) {
		t.unsent[peer] = append(t.unsent[peer], t.suspects[fingerprint].toProtos()...)
	}
}

// Disconnected records the end of a link.
func (t *Tracker) Disconnected(peer string) { delete(t.unsent, peer) }

// Tick returns the messages to send. It must be called several times a second.
func (t *Tracker) Tick(now time.Time) []message.Envelope {
	t.prune(now)
	if !t.hasUnsent {
		return nil
	}
	t.hasUnsent = false
	var envelopes []message.Envelope
	for peer, records := range t.unsent {
		for batch := range slices.Chunk(records, maxBatchRecords) {
			body := &fleetpb.Body{Kind: &fleetpb.Body_CrashRecords{CrashRecords: &fleetpb.CrashRecords{Records: batch}}}
			envelopes = append(envelopes, message.Envelope{To: peer, Body: body})
		}
		t.unsent[peer] = nil
	}
	return envelopes
}

// send queues records for all peers.
func (t *Tracker) send(records ...*fleetpb.CrashRecord) {
	for peer := range t.unsent {
		t.sendTo(peer, records...)
	}
}

// sendTo queues records for a linked peer.
func (t *Tracker) sendTo(peer string, records ...*fleetpb.CrashRecord) {
	if queued, linked := t.unsent[peer]; linked {
		t.unsent[peer] = append(queued, records...)
		t.hasUnsent = true
	}
}

// isValid reports whether a record of a peer has a crash id, and whether its strings are valid UTF-8 and not too long.
func isValid(crashRecord *fleetpb.CrashRecord) bool {
	return crashRecord.GetCrash() != "" && len(crashRecord.GetCrash()) <= maxNameBytes && len(crashRecord.GetTarget()) <= maxNameBytes &&
		utf8.ValidString(crashRecord.GetCrash()) && utf8.ValidString(crashRecord.GetTarget())
}
