package config

import (
	"math/rand/v2"
	"time"
)

// hurry is the time over which the routers spread snapshots that are overdue, so that most of them read another
// router's snapshot before they would write their own.
const hurry = time.Minute

// schedule decides when a store writes a snapshot: at a random instant between one half and three quarters of the
// retention after the oldest record that a starting reader needs. A snapshot that is read back begins anew.
type schedule struct {
	retention time.Duration
	random    *rand.Rand

	// anchor is the oldest record that a starting reader needs.
	anchor   uint64
	anchored bool
	// at is the instant of the anchor's append, or an assumed one.
	at  time.Time
	due time.Time
	// late is set once the anchor has expired.
	late bool
	// sent is the id of the append in flight, zero for none.
	sent uint64
}

// confirm notes a current snapshot in the log, appended at the given instant.
func (s *schedule) confirm(offset uint64, at time.Time) {
	s.anchor, s.anchored, s.at, s.late = offset, true, at, false
	s.due = at.Add(s.retention/2 + s.between(s.retention/4))
}

// relied notes a change that took effect; the first one is the anchor until there is a snapshot.
func (s *schedule) relied(offset uint64, at time.Time) {
	if !s.anchored {
		s.confirm(offset, at)
	}
}

// adopted notes a state that was not folded from the log. The age of the log's snapshot is then not known; it counts
// as a quarter of the retention.
func (s *schedule) adopted(now time.Time, offset uint64) {
	s.confirm(offset, now.Add(-s.retention/4))
}

// expired notes the oldest offset that the log keeps. If the anchor is gone, a snapshot is due soon, and the log keeps
// its records no longer than the anchor's age.
func (s *schedule) expired(now time.Time, first uint64) {
	if !s.anchored || s.late || first <= s.anchor {
		return
	}
	s.late = true
	s.retention = min(s.retention, max(now.Sub(s.at), hurry))
	if soon := now.Add(s.between(hurry)); soon.Before(s.due) {
		s.due = soon
	}
}

// appended notes the end of an append. If the snapshot is not read back, another one is due.
func (s *schedule) appended(now time.Time) {
	s.sent = 0
	s.due = now.Add(hurry + s.between(hurry))
}

// start tells whether an append is to be started, and notes its id. An append without an answer is tried again.
func (s *schedule) start(now time.Time, id uint64) bool {
	if now.Before(s.due) {
		return false
	}
	s.sent = id
	s.due = now.Add(hurry + s.between(hurry))
	return true
}

// between returns a random duration below the given one.
func (s *schedule) between(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(max(most, 1))))
}
