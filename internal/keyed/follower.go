package keyed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

const (
	// shortestPause and longestPause bound the pause after a failed call. It is random, so that routers do not come
	// back together.
	shortestPause = 100 * time.Millisecond
	longestPause  = 700 * time.Millisecond
)

// Handler takes what a follower reads.
type Handler interface {
	// Reset takes the newest record of every key; keys that are not among them are gone.
	Reset(now time.Time, records []Record)
	// Apply takes records that were written after those before.
	Apply(now time.Time, records []Record)
	// CaughtUp notes that everything written before an instant was read.
	CaughtUp(asked boottime.Instant)
	// Failed notes a call without an answer.
	Failed(now time.Time, err error)
}

// Follower reads a topic from its newest records on.
type Follower struct {
	topic   Topic
	handler Handler
	// wait is how long the store holds a call without new records, pace the pause between calls.
	wait, pace time.Duration
}

// NewFollower returns a follower that leaves the store the time wait to answer a call without new records, and pauses
// for the time pace after each answer.
func NewFollower(topic Topic, handler Handler, wait, pace time.Duration) *Follower {
	return &Follower{topic: topic, handler: handler, wait: wait, pace: pace}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded := uint64(0), false
	for ctx.Err() == nil {
		page, err := f.call(ctx, loaded, next)
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired):
			loaded = false
			f.handler.Failed(time.Now(), err)
			continue
		case err != nil:
			if ctx.Err() == nil {
				f.handler.Failed(time.Now(), err)
			}
			sleep(ctx, shortestPause+rand.N(longestPause-shortestPause))
			continue
		}
		next, loaded = page.NextOffset, true
		if !page.FromPeer { // The other router keeps the pace and answers when it has read something.
			sleep(ctx, f.pace)
		}
	}
}

// call makes one call to the store and hands its answer on.
func (f *Follower) call(ctx context.Context, loaded bool, from uint64) (Page, error) {
	asked := boottime.Now()
	if !loaded {
		page, err := f.topic.ReadNewest(ctx)
		if err == nil {
			f.handler.Reset(time.Now(), page.Records)
			f.handler.CaughtUp(asked.Add(page.AsOf))
		}
		return page, err
	}
	page, err := f.topic.Read(ctx, from, time.Now().Add(f.wait))
	if err == nil {
		f.handler.Apply(time.Now(), page.Records)
		f.handler.CaughtUp(asked.Add(page.AsOf))
	}
	return page, err
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
