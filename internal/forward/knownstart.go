package forward

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

const (
	// minRestartTime is the time that a target needs at least to start again under its address.
	minRestartTime = time.Second
	// unknownStartPeriod is how long a target that did not tell its start is not asked again by requests that go to any start.
	unknownStartPeriod = 10 * time.Second
)

// knownStart is what a target has shown of its start on all connections. It is safe for concurrent use.
type knownStart struct {
	now func() boottime.Instant

	mu sync.Mutex
	// startUnixMilli is the start that the target has told last, zero if none. aliveAt is the latest instant at which that start is known to
	// have run.
	startUnixMilli int64
	aliveAt        boottime.Instant
	// endSeenAt is when a sign was last seen that a start of the target has ended.
	endSeenAt boottime.Instant
	// untoldUntil is the end of the time in which a target that did not tell its start is not asked again.
	untoldUntil boottime.Instant
}

// current returns the start that runs at the target now, zero if that is not known: one that ran less than minRestartTime ago, without a sign of
// its end since then.
func (k *knownStart) current() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.startUnixMilli == 0 || !k.endSeenAt.Before(k.aliveAt) || now.Before(k.aliveAt) || now.Sub(k.aliveAt) >= minRestartTime {
		return 0
	}
	return k.startUnixMilli
}

// recordTold records that the target has told its start in answer to a question that was sent at the given instant.
func (k *knownStart) recordTold(startUnixMilli int64, askedAt boottime.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startUnixMilli, k.aliveAt, k.untoldUntil = startUnixMilli, askedAt, 0
}

// recordUntold records that the target did not tell its start.
func (k *knownStart) recordUntold() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.untoldUntil = k.now().Add(unknownStartPeriod)
}

// isUntold reports whether the target did not tell its start lately, and need not be asked by requests that go to any start.
func (k *knownStart) isUntold() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Before(k.untoldUntil)
}

// recordAlive records that a start ran at the given instant or later.
func (k *knownStart) recordAlive(startUnixMilli int64, at boottime.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if startUnixMilli != 0 && startUnixMilli == k.startUnixMilli && k.aliveAt.Before(at) {
		k.aliveAt = at
	}
}

// recordEnd records a sign that a start of the target has ended.
func (k *knownStart) recordEnd() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endSeenAt, k.untoldUntil = k.now(), 0
}

// isEndOfTarget reports whether the error of a connection on which the target has sent something may be due to the end of the target: it is neither
// a timeout nor the close of the connection by this process.
func isEndOfTarget(err error) bool {
	var reset *ResetError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.As(err, &reset)
}
