package origin

import (
	"maps"
	"time"
	"unicode/utf8"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

const (
	// maxEntries limits the number of streams whose origins are remembered. Beyond it, a stream is not recorded.
	maxEntries = 200_000
	// maxLifetime limits how long an origin that a peer sends is remembered.
	maxLifetime = 10 * time.Minute
	// pruneInterval is the time between removals of expired entries.
	pruneInterval = time.Second
	// maxNameBytes is the maximum length of the name of a service and of a build in a message.
	maxNameBytes = 256
)

// entry is the origin of one stream.
type entry struct {
	origin    Origin
	expiresAt time.Time
	// isOwn is set if this router has sent the stream to a target, hasBegun if the caller has a part of it from this router. From then on
	// its origin cannot change.
	isOwn, hasBegun bool
	// spent is set if the stream may no longer be taken up beyond its customer's share. See Directory.Spend.
	spent bool
	// toldBy is the peer that has told this router of the stream, empty if none has.
	toldBy string
	// savedUntil is the expiry with which the store holds the entry, zero if it does not.
	savedUntil time.Time
	// isBeingSaved is set while a write of the entry to the store is not answered.
	isBeingSaved bool
}

// isSaved reports whether the store holds the entry until its expiry.
func (e entry) isSaved() bool { return !e.savedUntil.Before(e.expiresAt) }

// after returns the entry with what a known entry says of the same origin.
func (e entry) after(known entry) entry {
	e.spent = e.spent || known.spent
	if e.origin == known.origin {
		e.hasBegun, e.savedUntil, e.isBeingSaved = known.hasBegun, known.savedUntil, known.isBeingSaved
	}
	return e
}

// Directory holds the origins of streams and shares them with peers.
type Directory struct {
	entries map[StreamID]entry
	peers   map[string]*peer
	// questions holds the peers whose answers are awaited for each stream that was asked for.
	questions map[StreamID]map[string]bool
	// answered holds the streams whose questions have ended since the last call of TakeAnswered.
	answered []StreamID
	prunedAt time.Time
	// hasUnsent is set if there may be messages to send to peers.
	hasUnsent bool
}

// New returns an empty directory without peers.
func New() *Directory {
	return &Directory{
		entries: make(map[StreamID]entry), peers: make(map[string]*peer), questions: make(map[StreamID]map[string]bool),
	}
}

// Record sets the origin of a stream that this router sends to a target. It is remembered until expiresAt.
func (d *Directory) Record(now time.Time, stream StreamID, origin Origin, expiresAt time.Time) {
	known, found := d.entries[stream]
	if found && known.origin == origin && known.expiresAt.After(expiresAt) {
		expiresAt = known.expiresAt
	}
	recorded := entry{origin: origin, expiresAt: expiresAt, isOwn: true}
	if !d.put(stream, recorded.after(known)) {
		return
	}
	d.tell(now, stream, d.holders(stream)...)
}

// Find returns the origin of a stream, and whether it is known.
func (d *Directory) Find(now time.Time, stream StreamID) (Origin, bool) {
	known, found := d.entries[stream]
	if !found || !now.Before(known.expiresAt) {
		return Origin{}, false
	}
	return known.origin, true
}

// Len returns the number of streams whose origins are remembered.
func (d *Directory) Len() int { return len(d.entries) }

// Ask asks all peers for the origin of a stream, unless they are being asked. It returns the number of peers that have not answered.
func (d *Directory) Ask(stream StreamID) int {
	if awaited, asked := d.questions[stream]; asked {
		return len(awaited)
	}
	if len(d.peers) == 0 {
		return 0
	}
	d.hasUnsent = true
	awaited := make(map[string]bool, len(d.peers))
	for name, asked := range d.peers {
		awaited[name] = true
		asked.queries = append(asked.queries, uint64(stream))
	}
	d.questions[stream] = awaited
	return len(awaited)
}

// EndQuestion stops waiting for answers about a stream.
func (d *Directory) EndQuestion(stream StreamID) { delete(d.questions, stream) }

// TakeAnswered returns the streams whose questions have ended since the last call: their origin is known now, or no peer knows it.
func (d *Directory) TakeAnswered() []StreamID {
	answered := d.answered
	d.answered = nil
	return answered
}

// ReceiveOrigins handles origins that a peer sends, or its answer to a question. It returns the number of invalid records, which are
// dropped.
func (d *Directory) ReceiveOrigins(now time.Time, from string, received *fleetpb.StreamOrigins) (invalid int) {
	for _, record := range received.GetOrigins() {
		if !isValid(record) {
			invalid++
			continue
		}
		stream := StreamID(record.GetStream())
		lifetime := min(time.Duration(record.GetRemainingMs())*time.Millisecond, maxLifetime)
		known := d.entries[stream]
		added := entry{
			origin: Origin{Service: record.GetService(), Build: record.GetBuild()}, expiresAt: now.Add(lifetime), isOwn: known.isOwn,
			spent: record.GetSpent(), toldBy: from,
		}
		d.put(stream, added.after(known))
		if d.questions[stream] != nil {
			d.endAnswered(stream)
		}
	}
	for _, stream := range received.GetUnknown() {
		d.peerAnswered(from, StreamID(stream))
	}
	return invalid
}

// ReceiveQuery queues the answer to a query of a peer.
func (d *Directory) ReceiveQuery(now time.Time, from string, query *fleetpb.StreamOriginQuery) {
	asking, linked := d.peers[from]
	if !linked {
		return
	}
	d.hasUnsent = true
	for _, id := range query.GetStreams() {
		if _, known := d.Find(now, StreamID(id)); known {
			asking.origins = append(asking.origins, toProto(now, StreamID(id), d.entries[StreamID(id)]))
		} else {
			asking.unknown = append(asking.unknown, id)
		}
	}
}

// tell queues the origin of a stream for peers.
func (d *Directory) tell(now time.Time, stream StreamID, receivers ...*peer) {
	d.hasUnsent = true
	record := toProto(now, stream, d.entries[stream])
	for _, receiver := range receivers {
		receiver.origins = append(receiver.origins, record)
	}
}

// Tick returns the messages to send. It must be called several times a second.
func (d *Directory) Tick(now time.Time) []message.Envelope {
	d.prune(now)
	if !d.hasUnsent {
		return nil
	}
	d.hasUnsent = false
	var envelopes []message.Envelope
	for name, receiver := range d.peers {
		for _, body := range receiver.takeBodies() {
			envelopes = append(envelopes, message.Envelope{To: name, Body: body})
		}
	}
	return envelopes
}

// put adds or replaces an entry, and reports false if there is no room for it.
func (d *Directory) put(stream StreamID, added entry) bool {
	if _, found := d.entries[stream]; !found && len(d.entries) >= maxEntries {
		return false
	}
	d.entries[stream] = added
	return true
}

// prune removes expired entries from time to time.
func (d *Directory) prune(now time.Time) {
	if now.Sub(d.prunedAt) < pruneInterval {
		return
	}
	d.prunedAt = now
	maps.DeleteFunc(d.entries, func(_ StreamID, known entry) bool { return !now.Before(known.expiresAt) })
}

// peerAnswered records that a peer does not know the origin of a stream, or is gone.
func (d *Directory) peerAnswered(name string, stream StreamID) {
	awaited := d.questions[stream]
	if awaited == nil {
		return
	}
	delete(awaited, name)
	if len(awaited) == 0 {
		d.endAnswered(stream)
	}
}

// endAnswered ends the question for a stream.
func (d *Directory) endAnswered(stream StreamID) {
	delete(d.questions, stream)
	d.answered = append(d.answered, stream)
}

// toProto returns an entry as it is sent to peers.
func toProto(now time.Time, stream StreamID, known entry) *fleetpb.StreamOrigin {
	return &fleetpb.StreamOrigin{
		Stream: uint64(stream), Service: known.origin.Service, Build: known.origin.Build,
		RemainingMs: uint32(max(known.expiresAt.Sub(now), 0).Milliseconds()), Spent: known.spent,
	}
}

// isValid reports whether the names in a record of a peer are valid.
func isValid(record *fleetpb.StreamOrigin) bool {
	return areValidNames(record.GetService(), record.GetBuild())
}

// areValidNames reports whether names of services and builds are not empty, valid UTF-8 and not too long.
func areValidNames(names ...string) bool {
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
			return false
		}
	}
	return true
}
