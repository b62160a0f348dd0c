package topiclog

import (
	"context"
	"sync"
	"time"
)

const (
	// newEraPeriod is how long after a new era became known the store may lack what its writers write again.
	newEraPeriod = 5 * time.Second
	// newEraWait is how long reads wait for new records meanwhile.
	newEraWait = 100 * time.Millisecond
)

// EraTracker knows the newest era of the store that a page of any topic has named, and ends the reads of the earlier eras. A read at an offset
// that the store has given out again would otherwise wait for new records, while all that was read before may be lost. It is safe for concurrent
// use.
type EraTracker struct {
	mu     sync.Mutex
	newest uint64
	// since is when this router learned of the newest era.
	since time.Time
	// reads holds the functions that end the reads of the newest era.
	reads map[*context.CancelFunc]struct{}
}

// NewEraTracker returns a tracker that knows no era.
func NewEraTracker() *EraTracker { return &EraTracker{reads: make(map[*context.CancelFunc]struct{})} }

// Newest returns the newest era and when this router learned of it. Both are zero if none is known.
func (t *EraTracker) Newest() (era uint64, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, t.since
}

// ReadDeadline returns until when a read that begins now and may wait for new records until a deadline does so. The wait is short while the store
// may lack records, since a read tells only at its end that there are no others.
func (t *EraTracker) ReadDeadline(now, deadline time.Time) time.Time {
	era, since := t.Newest()
	soon := now.Add(newEraWait)
	if era > FirstEra && now.Before(since.Add(newEraPeriod)) && soon.Before(deadline) {
		return soon
	}
	return deadline
}

// Observe records the era of a page, zero if it names none. A newer era than the known one ends the reads of that.
func (t *EraTracker) Observe(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.newest {
		return
	}
	t.newest, t.since = era, time.Now()
	for endRead := range t.reads {
		(*endRead)()
	}
	clear(t.reads)
}

// Within returns a context for a read that goes on from a position of an era, zero if that is not known. It ends when a newer era is known. The
// function must be called at the end of the read.
func (t *EraTracker) Within(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if era == 0 {
		return ctx, cancel
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest > era {
		cancel()
		return ctx, cancel
	}
	t.reads[&cancel] = struct{}{}
	return ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.reads, &cancel)
		cancel()
	}
}

// check returns an *EraError if an era is older than the newest one. Zero is an unknown era.
func (t *EraTracker) check(era uint64) error {
	newest, _ := t.Newest()
	if era == 0 || era >= newest {
		return nil
	}
	return &EraError{Known: era, Received: newest}
}
