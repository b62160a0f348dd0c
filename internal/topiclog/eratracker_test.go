package topiclog_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// waitingTopic is a topic of a store whose reads wait for records that never come.
type waitingTopic struct{ eras *topiclog.EraTracker }

// ReadNewest returns a page of the newest era.
func (t waitingTopic) ReadNewest(context.Context) (topiclog.Page, error) {
	era, _ := t.eras.Newest()
	return topiclog.Page{NextOffset: 5, Era: max(era, 1)}, nil
}

// Read waits until the deadline.
func (t waitingTopic) Read(ctx context.Context, from uint64, deadline time.Time) (topiclog.Page, error) {
	select {
	case <-time.After(time.Until(deadline)):
		return topiclog.Page{NextOffset: from}, nil
	case <-ctx.Done():
		return topiclog.Page{}, ctx.Err()
	}
}

func (waitingTopic) Put(context.Context, string, []byte) error { return nil }

// followWaitingTopic follows a topic whose reads wait for up to an hour, until the returned function is called.
func followWaitingTopic(t *testing.T, eras *topiclog.EraTracker, handler topiclog.Handler) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { topiclog.NewFollower(waitingTopic{eras}, handler, time.Hour, 0).WithEras(eras).Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// TestRestoreEndsReadOfOtherTopic guards against a follower that learns that the store came back from an older copy only when its read ends, which
// waits for records at an offset that was given out again, although another topic has shown it.
func TestRestoreEndsReadOfOtherTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eras, handler := topiclog.NewEraTracker(), &recordingHandler{}
		defer followWaitingTopic(t, eras, handler)()
		synctest.Wait()
		qt.Check(t, handler.events, qt.DeepEquals, []string{"reset 0", "caught up"})
		eras.Observe(1)
		synctest.Wait()
		qt.Check(t, handler.events, qt.HasLen, 2)
		eras.Observe(2)
		synctest.Wait()
		qt.Check(t, handler.events, qt.DeepEquals, []string{"reset 0", "caught up", "failed", "reset 0", "caught up"})
	})
}

// TestReadsAreShortInNewEra guards against a router that learns only at the end of a long read that the store is complete again.
func TestReadsAreShortInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eras, handler := topiclog.NewEraTracker(), &recordingHandler{}
		defer followWaitingTopic(t, eras, handler)()
		eventsAfter := func(wait time.Duration) int {
			time.Sleep(wait)
			synctest.Wait()
			return len(handler.events)
		}
		eras.Observe(topiclog.FirstEra)
		known := eventsAfter(time.Minute)
		qt.Check(t, known, qt.Equals, 2)
		eras.Observe(topiclog.FirstEra + 1)
		for range 10 {
			now := eventsAfter(250 * time.Millisecond)
			qt.Check(t, now > known, qt.IsTrue)
			known = now
		}
		known = eventsAfter(time.Minute)
		qt.Check(t, eventsAfter(time.Minute), qt.Equals, known)
	})
}

// TestNewerEraIsToldBeforeReset guards against a handler that takes the records of an older copy of the store for newer ones, because the read
// before found that its records had expired.
func TestNewerEraIsToldBeforeReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &scriptedTopic{exhausted: make(chan struct{}), responses: []response{
			{page: topiclog.Page{NextOffset: 5, Era: 1}},
			{err: &topiclog.ExpiredError{RequestedOffset: 5}},
			{page: topiclog.Page{NextOffset: 3, Era: 2}},
			{page: topiclog.Page{NextOffset: 3, Era: 2}},
		}}
		handler := &recordingHandler{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			topiclog.NewFollower(topic, handler, time.Second, 0).Run(ctx)
		}()
		<-topic.exhausted
		cancel()
		<-done
		qt.Check(t, handler.events, qt.DeepEquals, []string{"reset 0", "caught up", "failed", "failed", "reset 0", "caught up"})
	})
}
