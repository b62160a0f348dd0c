package config

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	// Stream is the log stream of the configuration.
	Stream = "config"
	// isolation is the time without log and peers after which a router is isolated.
	isolation = 15 * time.Second
	// maxHistory bounds the history.
	maxHistory = 256
)

// Store is the configuration core of one router: it folds the log stream, publishes changes, writes snapshots, and
// exchanges states with peers. Its offset and version never decrease.
type Store struct {
	patience time.Duration
	random   *rand.Rand

	state State
	// offset is the log offset up to which the state is folded, and cursor that of the next record to read; they
	// differ only while the store has missed expired records and looks for a snapshot.
	offset uint64
	cursor uint64
	// first is the oldest offset that the log keeps, as far as known.
	first uint64
	// ready is set once the state was current at some instant.
	ready bool
	// stalled is set at a record of a higher format version.
	stalled bool

	// resumeAt is the instant at which a store that has missed records resumes, zero if it has not missed any, and atEnd
	// is set if the last page was read to the log's end.
	resumeAt time.Time
	atEnd    bool
	started  time.Time
	readAt   time.Time
	heardAt  time.Time

	history  []HistoryEntry
	recent   recent
	peers    map[string]*peer
	listed   map[string]bool
	near     []string
	fetch    fetch
	schedule schedule
	encoded  encoded

	last      uint64
	pending   []*pending
	results   []Result
	envelopes []message.Envelope
	appends   []message.Append
}

// NewStore returns a store that knows nothing yet.
func NewStore(options ...Option) *Store {
	s := &Store{patience: DefaultPublishTimeout, peers: make(map[string]*peer)}
	s.schedule.retention = DefaultRetention
	s.seed(1)
	for _, option := range options {
		option(s)
	}
	return s
}

// seed sets the random numbers.
func (s *Store) seed(seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 0))
	s.schedule.random = s.random
}

// State returns the configuration in force.
func (s *Store) State() State { return s.state }

// Offset returns the log offset up to which the state is folded.
func (s *Store) Offset() uint64 { return s.offset }

// ReadAt returns the last instant at which the store had folded the log to its end, zero if never.
func (s *Store) ReadAt() time.Time { return s.readAt }

// History returns the latest folded changes, oldest first; the caller must not change the slice.
func (s *Store) History() []HistoryEntry { return s.history }

// Ready tells whether the state has been current at some instant: read to the end of the log, or taken from a peer.
// A router that is not ready knows no customers.
func (s *Store) Ready() bool { return s.ready }

// HasGap tells whether the store has missed records that expired, and waits for a snapshot or a peer.
func (s *Store) HasGap() bool { return s.offset < s.first }

// Stalled tells whether the store stopped at a record of a higher format version.
func (s *Store) Stalled() bool { return s.stalled }

// Isolated tells whether the router has reached neither the end of the log nor a listed peer for 15 s. A read of the
// log that waits for records has to return an empty page within that time.
func (s *Store) Isolated(now time.Time) bool {
	newest := s.started
	for _, at := range []time.Time{s.readAt, s.heardAt} {
		if at.After(newest) {
			newest = at
		}
	}
	return !newest.IsZero() && now.Sub(newest) > isolation
}

// Positions returns the log streams to follow: none while the store is stalled.
func (s *Store) Positions() []message.Position {
	if s.stalled {
		return nil
	}
	return []message.Position{{Stream: Stream, Offset: s.cursor}}
}

// start notes the first instant at which the store was called.
func (s *Store) start(now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
}

// Page takes the answer to a read of the log. A page that does not begin at the store's position changes nothing.
func (s *Store) Page(now time.Time, stream string, page outside.Page) {
	s.start(now)
	if stream != Stream {
		return
	}
	s.fetch.failed = false
	if page.First > s.first {
		s.first = page.First
	}
	s.cursor = max(s.cursor, s.first)
	s.schedule.expired(now, s.first)
	switch {
	case !s.HasGap():
		s.resumeAt = time.Time{}
	case s.resumeAt.IsZero():
		s.resumeAt = now.Add(resumption + s.schedule.between(hurry))
	}
	for _, record := range page.Records {
		if record.Offset < s.cursor {
			continue
		}
		if record.Offset > s.cursor || !s.read(now, record) {
			return
		}
	}
	s.atEnd = s.cursor >= page.End
	if s.atEnd && !s.HasGap() {
		s.readAt, s.ready = now, true
	}
}

// read takes the record at the cursor; it returns false if the following record is not the next one to read.
func (s *Store) read(now time.Time, record outside.Record) bool {
	decoded, err := DecodeRecord(record.Data)
	var newer *UnsupportedFormatError
	if errors.As(err, &newer) {
		s.stalled = true
		return false
	}
	s.cursor++
	if err == nil && decoded.Snapshot != nil {
		return s.readSnapshot(now, record, *decoded.Snapshot)
	}
	if s.HasGap() {
		return true
	}
	s.offset = s.cursor
	if err != nil || decoded.Change == nil {
		s.note(HistoryEntry{Version: s.state.version, Reason: reason(err, "not a record of the log"), Offset: record.Offset})
		return true
	}
	s.fold(record, *decoded.Change)
	return true
}

// fold applies a change at the end of the folded records.
func (s *Store) fold(record outside.Record, change Change) {
	state, err := s.state.WithChange(change)
	s.state = state
	if err == nil {
		s.recent.add(change)
		s.schedule.relied(record.Offset, record.At)
	}
	s.note(HistoryEntry{
		ID: change.ID, Author: change.Author, Base: change.Base, Version: state.version,
		Accepted: err == nil, Reason: reason(err, ""), Offset: record.Offset,
	})
	s.settleFolded(change, err)
	s.settle()
}

// readSnapshot takes a snapshot record. It replaces the state only of a store that has missed records; the changes
// between the snapshot's own offset and its record are then read again. A resumed snapshot counts from its record on
// and replaces the state of every store. A store that has missed records uses it only if it can read all records since
// its offset, and so would have read another one of the same epoch that came first.
func (s *Store) readSnapshot(now time.Time, record outside.Record, snapshot Snapshot) bool {
	if snapshot.Resumed && snapshot.Version > s.state.version && (!s.HasGap() || snapshot.Offset >= s.first) {
		if state, err := snapshot.State(); err == nil {
			s.adopt(now, state, s.cursor, nil)
			s.schedule.confirm(record.Offset, record.At)
			return true
		}
	}
	if !s.HasGap() {
		s.offset = s.cursor
		if snapshot.Version == s.state.version {
			s.schedule.confirm(record.Offset, record.At)
		}
		return true
	}
	usable := !snapshot.Resumed && snapshot.Version >= s.state.version && snapshot.Offset >= s.first && snapshot.Offset <= record.Offset
	state, err := snapshot.State()
	if err != nil || !usable {
		return true
	}
	s.adopt(now, state, snapshot.Offset, nil)
	s.schedule.confirm(record.Offset, record.At)
	return s.cursor == record.Offset+1
}

// adopt replaces the state by one that is not older; changes lead from the present state to it, if they are known.
func (s *Store) adopt(now time.Time, state State, offset uint64, changes []Change) {
	if state.version != s.state.version && len(changes) == 0 {
		s.recent = recent{}
	}
	for _, change := range changes {
		s.recent.add(change)
	}
	s.state, s.offset = state, offset
	if !s.HasGap() {
		s.cursor, s.stalled = offset, false
	}
	s.schedule.adopted(now, offset)
	s.settle()
}

// ReadFailed takes a failed read of the log.
func (s *Store) ReadFailed(now time.Time, stream string) {
	s.start(now)
	if stream == Stream {
		s.fetch.failed = true
	}
}

// Tick settles published changes whose time is over, and returns what is to be sent and appended, and the outcomes
// since the last tick.
func (s *Store) Tick(now time.Time) (message.Effects, []Result) {
	s.start(now)
	s.expire(now)
	s.fetchState(now)
	s.writeSnapshot(now)
	s.resume(now)
	effects, results := message.Effects{Envelopes: s.envelopes, Appends: s.appends}, s.results
	s.envelopes, s.appends, s.results = nil, nil, nil
	return effects, results
}

// note adds an entry to the history.
func (s *Store) note(entry HistoryEntry) {
	s.history = append(s.history, entry)
	if len(s.history) > 2*maxHistory {
		s.history = append([]HistoryEntry(nil), s.history[len(s.history)-maxHistory:]...)
	}
}

// reason returns the text of an error, or another one if there is no error.
func reason(err error, otherwise string) string {
	if err == nil {
		return otherwise
	}
	return err.Error()
}
