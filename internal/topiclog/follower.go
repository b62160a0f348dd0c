package topiclog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

const (
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call. The delay is random so that routers do not all
	// retry at the same time.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
)

// Handler receives what a Follower reads. Its methods are called one at a time, from the goroutine of Follower.Run.
type Handler interface {
	// Reset replaces everything received before with the newest record of each key. Keys without a record are removed.
	Reset(now time.Time, records []Record)
	// Apply receives the records that follow, in the order in which they were written. There may be none. After a Reset, some
	// of those that it included may come again.
	Apply(now time.Time, records []Record)
	// CaughtUp is called after each Reset, and after each Apply that was not a part of a page: all records that were written before asOf
	// have been received.
	CaughtUp(asOf boottime.Instant)
	// Failed is called after each read that failed, unless the follower is being stopped. After an *ExpiredError, and after an *EraError of a
	// restored store, Reset follows the next successful read. There is no Reset with records of a newer era without such an *EraError before it.
	Failed(now time.Time, err error)
}

// Follower reads the newest record of each key of a topic, and then the records that follow.
type Follower struct {
	topic   Topic
	handler Handler
	// pollWait is how long the store may wait for new records in one read. pollInterval is the pause between reads.
	pollWait, pollInterval time.Duration
	eras                   *EraTracker
}

// NewFollower returns a follower that lets the store wait up to pollWait for new records in each read, and pauses for
// pollInterval after each page that the store itself returned.
func NewFollower(topic Topic, handler Handler, pollWait, pollInterval time.Duration) *Follower {
	return &Follower{topic: topic, handler: handler, pollWait: pollWait, pollInterval: pollInterval, eras: NewEraTracker()}
}

// WithEras returns a follower that shares what it learns of the store's era with the other followers of the tracker.
func (f Follower) WithEras(eras *EraTracker) *Follower {
	f.eras = eras
	return &f
}

// Run follows the topic and calls the handler. It returns only when ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var position position
	for ctx.Err() == nil {
		page, err := f.poll(ctx, position)
		switch {
		case mustReadAnew(err):
			newestEra, _ := f.eras.Newest()
			position = position.unloaded(newestEra)
			f.handler.Failed(time.Now(), err)
			continue
		case err != nil:
			if ctx.Err() == nil {
				f.handler.Failed(time.Now(), err)
			}
			sleep(ctx, retryDelay())
			continue
		}
		position = position.after(page)
		sleep(ctx, f.pauseAfter(page))
	}
}

// pauseAfter returns the pause between a page and the next read.
func (f *Follower) pauseAfter(page Page) time.Duration {
	switch {
	case page.FromPeer: // A peer paces its own reads of the store and responds when it has read something.
		return 0
	case page.Partial && len(page.Records) > 0: // The rest can be read at once.
		return 0
	case page.Partial:
		return retryDelay()
	}
	return f.pollInterval
}

// retryDelay returns the random delay after a read that brought nothing.
func retryDelay() time.Duration { return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay) }

// position is how far a follower has read.
type position struct {
	nextOffset, era uint64
	loaded          bool
}

// after returns the position after a page.
func (p position) after(page Page) position {
	return position{nextOffset: page.NextOffset, era: max(p.era, page.Era), loaded: true}
}

// unloaded returns the position before the newest record of each key is read again, after a newer era may have become known.
func (p position) unloaded(newestEra uint64) position {
	if p.era > 0 {
		p.era = max(p.era, newestEra)
	}
	p.loaded = false
	return p
}

// mustReadAnew reports whether the error of a read means that the newest record of each key has to be read again.
func mustReadAnew(err error) bool {
	var expired *ExpiredError
	var otherEra *EraError
	return errors.As(err, &expired) || errors.As(err, &otherEra) && otherEra.Restored()
}

// poll reads once and passes the result to the handler: the newest record of each key if nothing is loaded yet, otherwise the
// records that follow the position.
func (f *Follower) poll(ctx context.Context, from position) (Page, error) {
	calledAt := boottime.Now()
	page, err := f.read(ctx, from)
	if err != nil {
		return page, err
	}
	if from.loaded {
		f.handler.Apply(time.Now(), page.Records)
	} else {
		f.handler.Reset(time.Now(), page.Records)
	}
	if !page.Partial {
		f.handler.CaughtUp(calledAt.Add(page.AsOf))
	}
	return page, nil
}

// read reads once. The error is an *EraError if the page is of another era than the position, or of an earlier one than the newest.
func (f *Follower) read(ctx context.Context, from position) (Page, error) {
	if err := f.eras.check(from.era); err != nil {
		return Page{}, err
	}
	readCtx, end := f.eras.Within(ctx, from.era)
	defer end()
	page, err := f.readTopic(readCtx, from)
	if err == nil {
		f.eras.Observe(page.Era)
		err = checkEra(from.era, page)
	}
	if eraErr := f.eras.check(from.era); eraErr != nil && ctx.Err() == nil {
		return Page{}, eraErr
	}
	return page, err
}

// readTopic returns the newest record of each key if nothing is loaded yet, and otherwise the records that follow the position.
func (f *Follower) readTopic(ctx context.Context, from position) (Page, error) {
	if !from.loaded {
		return f.topic.ReadNewest(ctx)
	}
	now := time.Now()
	return f.topic.Read(ctx, from.nextOffset, f.eras.ReadDeadline(now, now.Add(f.pollWait)))
}

// sleep waits for the delay or until ctx is done.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
