package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
)

// resumeDelay is the time after which a store that has missed expired records appends a resumed snapshot of its own
// state. It is long enough for the other ways of recovery: a store that has read those records and can read the log
// writes a snapshot within two minutes, and a connected peer is asked for its state at once.
const resumeDelay = 5 * time.Minute

// writeSnapshot appends a snapshot if one is due and the store is up to date with the log.
func (s *Store) writeSnapshot(now time.Time) {
	current := !s.needsPeerState() && !s.fetch.logReadFailed && now.Sub(s.readAt) < isolationTimeout
	if current && s.state.version > 0 && s.schedule.hasRecoveryPoint && s.schedule.startAppend(now, s.lastID+1) {
		s.appendSnapshot(NewSnapshot(s.state, s.appliedOffset))
	}
}

// writeResumedSnapshot appends a resumed snapshot if this store has missed expired records and has not recovered within
// resumeDelay. Probably no store has read those records, and without a new epoch the configuration could never change
// again.
func (s *Store) writeResumedSnapshot(now time.Time) {
	unrecovered := s.ready && s.HasGap() && !s.stalled && s.atLogEnd && !s.fetch.logReadFailed
	if unrecovered && !now.Before(s.resumeAt) && s.schedule.startAppend(now, s.lastID+1) {
		s.appendSnapshot(newResumedSnapshot(s.state, s.nextOffset))
	}
}

// appendSnapshot queues the append of a snapshot for the next Tick. Its id is the one that startAppend was given.
func (s *Store) appendSnapshot(snapshot Snapshot) {
	s.lastID++
	data := Record{Snapshot: &snapshot}.Encode()
	s.appends = append(s.appends, message.Append{ID: s.lastID, Stream: Stream, Data: data})
}
