package config

import (
	"math/rand/v2"
	"time"
)

// overdueSpread is the time over which the routers spread the writing of overdue snapshots, so that most of them read
// another router's snapshot before their own is due.
const overdueSpread = time.Minute

// snapshotSchedule decides when a store writes a snapshot. The recovery point is the oldest record that a starting reader
// needs: the latest snapshot in the log, or the first change if there is none. A snapshot is due at a random time between
// one half and three quarters of the retention after the recovery point was appended. A current snapshot that is read
// from the log, no matter who wrote it, becomes the new recovery point.
type snapshotSchedule struct {
	// retention is the time for which the log keeps records. It is reduced if the log turns out to keep them for less.
	retention time.Duration
	rng       *rand.Rand

	// recoveryOffset is the log offset of the recovery point, valid if hasRecoveryPoint is set.
	recoveryOffset   uint64
	hasRecoveryPoint bool
	// recoveryPointAt is the time at which the recovery point was appended, or an assumed one if that is unknown.
	recoveryPointAt time.Time
	// dueAt is the time from which the next snapshot may be appended.
	dueAt time.Time
	// recoveryPointExpired is set once the log no longer keeps the recovery point.
	recoveryPointExpired bool
	// appendID is the id of the snapshot append that has no result yet, zero if there is none.
	appendID uint64
}

// setRecoveryPoint sets the recovery point to the record that was appended at the given offset and time, and schedules
// the next snapshot.
func (s *snapshotSchedule) setRecoveryPoint(offset uint64, at time.Time) {
	s.recoveryOffset, s.hasRecoveryPoint, s.recoveryPointAt, s.recoveryPointExpired = offset, true, at, false
	s.dueAt = at.Add(s.retention/2 + s.randomDuration(s.retention/4))
}

// changeApplied is called for each change that took effect. The first one is the recovery point until there is a
// snapshot.
func (s *snapshotSchedule) changeApplied(offset uint64, at time.Time) {
	if !s.hasRecoveryPoint {
		s.setRecoveryPoint(offset, at)
	}
}

// stateAdopted is called when the state was taken from a snapshot or a peer. The age of the recovery point in the log is
// then unknown, and is assumed to be a quarter of the retention.
func (s *snapshotSchedule) stateAdopted(now time.Time, offset uint64) {
	s.setRecoveryPoint(offset, now.Add(-s.retention/4))
}

// logStartMoved is called with the oldest offset that the log keeps. If the recovery point has expired, a snapshot is due
// within overdueSpread. The retention is reduced to the age of the recovery point, but not below overdueSpread, since the
// log evidently keeps its records no longer than that.
func (s *snapshotSchedule) logStartMoved(now time.Time, firstOffset uint64) {
	if !s.hasRecoveryPoint || s.recoveryPointExpired || firstOffset <= s.recoveryOffset {
		return
	}
	s.recoveryPointExpired = true
	s.retention = min(s.retention, max(now.Sub(s.recoveryPointAt), overdueSpread))
	if earlier := now.Add(s.randomDuration(overdueSpread)); earlier.Before(s.dueAt) {
		s.dueAt = earlier
	}
}

// appendEnded is called when the append of a snapshot has ended. If the snapshot is not read back from the log, another
// one is due after one to two times overdueSpread.
func (s *snapshotSchedule) appendEnded(now time.Time) {
	s.appendID = 0
	s.dueAt = now.Add(overdueSpread + s.randomDuration(overdueSpread))
}

// startAppend reports whether a snapshot is due; the caller then appends it with the given id. If the append never ends,
// another snapshot is due after one to two times overdueSpread.
func (s *snapshotSchedule) startAppend(now time.Time, id uint64) bool {
	if now.Before(s.dueAt) {
		return false
	}
	s.appendID = id
	s.dueAt = now.Add(overdueSpread + s.randomDuration(overdueSpread))
	return true
}

// randomDuration returns a random duration below limit, or zero if limit is not positive.
func (s *snapshotSchedule) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(max(limit, 1))))
}
