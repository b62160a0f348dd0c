package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
)

// resumption is the time after which a store that has missed expired records resumes from its own state. A store that
// has not missed them and reads the log writes a snapshot within two minutes, and a linked peer is asked at once.
const resumption = 5 * time.Minute

// writeSnapshot appends a snapshot if one is due and the log can be read.
func (s *Store) writeSnapshot(now time.Time) {
	readable := !s.stuck() && !s.fetch.failed && now.Sub(s.readAt) < isolation
	if readable && s.state.version > 0 && s.schedule.anchored && s.schedule.start(now, s.last+1) {
		s.appendSnapshot(NewSnapshot(s.state, s.offset))
	}
}

// resume appends a resumed snapshot if this store has missed expired records and nobody helped it: no store may have
// read them. Otherwise the configuration could never change again.
func (s *Store) resume(now time.Time) {
	waiting := s.ready && s.HasGap() && !s.stalled && s.atEnd && !s.fetch.failed
	if waiting && !now.Before(s.resumeAt) && s.schedule.start(now, s.last+1) {
		s.appendSnapshot(newSnapshotResumed(s.state, s.cursor))
	}
}

// appendSnapshot queues the append of a snapshot.
func (s *Store) appendSnapshot(snapshot Snapshot) {
	s.last++
	data := Record{Snapshot: &snapshot}.Encode()
	s.appends = append(s.appends, message.Append{ID: s.last, Stream: Stream, Data: data})
}
