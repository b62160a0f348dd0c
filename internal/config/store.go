package config

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/message"
)

const (
	// Stream is the name of the log stream of the configuration.
	Stream = "config"
	// isolationTimeout is the time without contact with the log or a listed peer after which a router is isolated.
	isolationTimeout = 15 * time.Second
	// maxHistoryEntries is the number of entries that remain in the history when it is trimmed, at twice this length.
	maxHistoryEntries = 256
)

// Store keeps the configuration of one router: it applies the records of the log stream, publishes changes, writes
// snapshots, and exchanges states with peers. Its offset and version never decrease. It does no I/O: Tick returns the
// messages and appends to carry out. It is not safe for concurrent use.
type Store struct {
	publishTimeout time.Duration
	rng            *rand.Rand

	state State
	// appliedOffset is the offset of the first record that the state does not include, and nextOffset that of the next
	// record to read. They differ only while the store has missed expired records and looks for a snapshot.
	appliedOffset uint64
	nextOffset    uint64
	// firstOffset is the oldest offset that the log was seen to keep.
	firstOffset uint64
	// ready is set once the state has been current at some time.
	ready bool
	// stalled is set while the next record has a higher format version than this package supports.
	stalled bool

	// resumeAt is the time from which a store that has missed expired records may write a resumed snapshot, zero if it has
	// not missed any.
	resumeAt time.Time
	// atLogEnd is set if the last page reached the end of the log.
	atLogEnd bool
	// startedAt is the time of the first call, readAt that of the last read to the end of the log, and peerHeardAt that of
	// the last message from a listed peer.
	startedAt   time.Time
	readAt      time.Time
	peerHeardAt time.Time

	history []HistoryEntry
	recent  recentChanges
	// peers are the connected peers by name.
	peers map[string]*peerStatus
	// listedPeers are the routers whose messages count as contact, nil if all count.
	listedPeers   map[string]bool
	regionPeers   []string
	fetch         fetchState
	schedule      snapshotSchedule
	snapshotCache encodedSnapshot

	// lastID is the last id that was issued. Tickets and append ids share one sequence.
	lastID  uint64
	pending []*pendingChange
	// results, envelopes and appends are queued for the next Tick.
	results   []Result
	envelopes []message.Envelope
	appends   []message.Append
}

// NewStore returns a store with the empty state, which is not ready.
func NewStore(options ...Option) *Store {
	s := &Store{publishTimeout: DefaultPublishTimeout, peers: make(map[string]*peerStatus)}
	s.schedule.retention = DefaultRetention
	s.seedRandom(1)
	for _, option := range options {
		option(s)
	}
	return s
}

// seedRandom seeds the random number generator that the store and its snapshot schedule share.
func (s *Store) seedRandom(seed uint64) {
	s.rng = rand.New(rand.NewPCG(seed, 0))
	s.schedule.rng = s.rng
}

// State returns the configuration in force.
func (s *Store) State() State { return s.state }

// Offset returns the offset of the first log record that the state does not include.
func (s *Store) Offset() uint64 { return s.appliedOffset }

// ReadAt returns the last time at which the store had read and applied the log to its end, zero if it never has.
func (s *Store) ReadAt() time.Time { return s.readAt }

// History returns the latest processed records other than snapshots, oldest first. The caller must not modify the slice.
func (s *Store) History() []HistoryEntry { return s.history }

// Ready reports whether the state has been current at some time: read to the end of the log, or taken from a peer. A
// router that is not ready knows no customers.
func (s *Store) Ready() bool { return s.ready }

// HasGap reports whether the store has missed records that expired from the log. It then ignores changes until a snapshot
// or a peer closes the gap.
func (s *Store) HasGap() bool { return s.appliedOffset < s.firstOffset }

// Stalled reports whether the store has stopped at a record with a higher format version than FormatVersion.
func (s *Store) Stalled() bool { return s.stalled }

// Isolated reports whether the router has neither read the log to its end nor received a message from a listed peer for
// more than 15 s. Until the first such contact, the time counts from the first call of the store. A read of the log that
// waits for new records must therefore return an empty page within 15 s.
func (s *Store) Isolated(now time.Time) bool {
	lastContact := s.startedAt
	for _, at := range []time.Time{s.readAt, s.peerHeardAt} {
		if at.After(lastContact) {
			lastContact = at
		}
	}
	return !lastContact.IsZero() && now.Sub(lastContact) > isolationTimeout
}

// Positions returns the log stream to read and the offset to read from, or nil while the store is stalled.
func (s *Store) Positions() []message.Position {
	if s.stalled {
		return nil
	}
	return []message.Position{{Stream: Stream, Offset: s.nextOffset}}
}

// recordStart records the time of the first call of the store.
func (s *Store) recordStart(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
}

// Page handles a page of records that was read from a log stream. Pages of other streams are ignored. Records before the
// position of the store are skipped, and reading stops at the first record that is not the next one.
func (s *Store) Page(now time.Time, stream string, page external.Page) {
	s.recordStart(now)
	if stream != Stream {
		return
	}
	s.fetch.logReadFailed = false
	if page.FirstOffset > s.firstOffset {
		s.firstOffset = page.FirstOffset
	}
	s.nextOffset = max(s.nextOffset, s.firstOffset)
	s.schedule.logStartMoved(now, s.firstOffset)
	switch {
	case !s.HasGap():
		s.resumeAt = time.Time{}
	case s.resumeAt.IsZero():
		s.resumeAt = now.Add(resumeDelay + s.schedule.randomDuration(overdueSpread))
	}
	for _, record := range page.Records {
		if record.Offset < s.nextOffset {
			continue
		}
		if record.Offset > s.nextOffset || !s.applyRecord(now, record) {
			return
		}
	}
	s.atLogEnd = s.nextOffset >= page.EndOffset
	if s.atLogEnd && !s.HasGap() {
		s.readAt, s.ready = now, true
	}
}

// applyRecord processes the record at nextOffset. It returns false if the rest of the page is of no use: the store stalled
// or has to read from another offset.
func (s *Store) applyRecord(now time.Time, record external.Record) bool {
	decoded, err := DecodeRecord(record.Data)
	var unsupported *UnsupportedFormatError
	if errors.As(err, &unsupported) {
		s.stalled = true
		return false
	}
	s.nextOffset++
	if err == nil && decoded.Snapshot != nil {
		return s.applySnapshot(now, record, *decoded.Snapshot)
	}
	if s.HasGap() {
		return true
	}
	s.appliedOffset = s.nextOffset
	if err != nil || decoded.Change == nil {
		s.addHistory(HistoryEntry{
			Version: s.state.version, Reason: errorText(err, "not a record of the log"), Offset: record.Offset,
		})
		return true
	}
	s.applyChange(record, *decoded.Change)
	return true
}

// applyChange applies a change record to the current state, and settles the published changes that it decides.
func (s *Store) applyChange(record external.Record, change Change) {
	state, err := s.state.WithChange(change)
	s.state = state
	if err == nil {
		s.recent.add(change)
		s.schedule.changeApplied(record.Offset, record.AppendedAt)
	}
	s.addHistory(HistoryEntry{
		ID: change.ID, Author: change.Author, Base: change.Base, Version: state.version,
		Accepted: err == nil, Reason: errorText(err, ""), Offset: record.Offset,
	})
	s.settleFromRecord(change, err)
	s.settleFromState()
}

// applySnapshot processes a snapshot record. It returns false if the store has to read from another offset.
//
// A snapshot that is not resumed replaces the state only of a store with a gap. The store then reads the records between
// the snapshot's offset and the snapshot record again, since the state does not include them.
//
// A resumed snapshot takes effect at the position of its record and replaces the state of every store. A store with a gap
// uses it only if the log still has all records since the snapshot's offset. Otherwise an earlier resumed snapshot of the
// same epoch could be among the expired records, and other stores would have used that one.
func (s *Store) applySnapshot(now time.Time, record external.Record, snapshot Snapshot) bool {
	if snapshot.Resumed && snapshot.Version > s.state.version && (!s.HasGap() || snapshot.Offset >= s.firstOffset) {
		if state, err := snapshot.State(); err == nil {
			s.adoptState(now, state, s.nextOffset, nil)
			s.schedule.setRecoveryPoint(record.Offset, record.AppendedAt)
			return true
		}
	}
	if !s.HasGap() {
		s.appliedOffset = s.nextOffset
		if snapshot.Version == s.state.version {
			s.schedule.setRecoveryPoint(record.Offset, record.AppendedAt)
		}
		return true
	}
	usable := !snapshot.Resumed && snapshot.Version >= s.state.version &&
		snapshot.Offset >= s.firstOffset && snapshot.Offset <= record.Offset
	state, err := snapshot.State()
	if err != nil || !usable {
		return true
	}
	s.adoptState(now, state, snapshot.Offset, nil)
	s.schedule.setRecoveryPoint(record.Offset, record.AppendedAt)
	return s.nextOffset == record.Offset+1
}

// adoptState replaces the state with one that is not older. If changes are given, they lead from the current state to the
// new one. A newer state without changes clears the recent changes, which would have a gap otherwise.
func (s *Store) adoptState(now time.Time, state State, offset uint64, changes []Change) {
	if state.version != s.state.version && len(changes) == 0 {
		s.recent = recentChanges{}
	}
	for _, change := range changes {
		s.recent.add(change)
	}
	s.state, s.appliedOffset = state, offset
	if !s.HasGap() {
		s.nextOffset, s.stalled = offset, false
	}
	s.schedule.stateAdopted(now, offset)
	s.settleFromState()
}

// ReadFailed handles a failed read of a log stream. Other streams are ignored.
func (s *Store) ReadFailed(now time.Time, stream string) {
	s.recordStart(now)
	if stream == Stream {
		s.fetch.logReadFailed = true
	}
}

// Tick runs what is due by time: it settles published changes that have timed out, fetches from peers and writes
// snapshots. It returns the messages to send and the records to append, and the results of published changes, since the
// last call.
func (s *Store) Tick(now time.Time) (message.Effects, []Result) {
	s.recordStart(now)
	s.expirePending(now)
	s.requestConfig(now)
	s.writeSnapshot(now)
	s.writeResumedSnapshot(now)
	effects, results := message.Effects{Envelopes: s.envelopes, Appends: s.appends}, s.results
	s.envelopes, s.appends, s.results = nil, nil, nil
	return effects, results
}

// addHistory appends an entry to the history and drops the oldest ones if there are too many.
func (s *Store) addHistory(entry HistoryEntry) {
	s.history = append(s.history, entry)
	if len(s.history) > 2*maxHistoryEntries {
		s.history = append([]HistoryEntry(nil), s.history[len(s.history)-maxHistoryEntries:]...)
	}
}

// errorText returns the text of an error, or fallback if err is nil.
func errorText(err error, fallback string) string {
	if err == nil {
		return fallback
	}
	return err.Error()
}
