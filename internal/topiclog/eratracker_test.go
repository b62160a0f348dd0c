package topiclog_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// waitingTopic is a topic of a store whose reads wait for records that never come.
type waitingTopic struct {
	eras  *topiclog.EraTracker
	reads atomic.Int64
}

// ReadNewest returns a page of the newest era.
func (t *waitingTopic) ReadNewest(context.Context) (topiclog.Page, error) {
	era, _ := t.eras.Newest()
	return topiclog.Page{NextOffset: 5, Era: max(era, 1)}, nil
}

// Read waits until the deadline.
func (t *waitingTopic) Read(ctx context.Context, from uint64, deadline time.Time) (topiclog.Page, error) {
	t.reads.Add(1)
	select {
	case <-time.After(time.Until(deadline)):
		return topiclog.Page{NextOffset: from}, nil
	case <-ctx.Done():
		return topiclog.Page{}, ctx.Err()
	}
}

func (*waitingTopic) Put(context.Context, string, []byte) error { return nil }

// follow has a handler follow the topic with reads that may wait for an hour, until the returned function is called.
func (t *waitingTopic) follow(ctx context.Context, handler topiclog.Handler) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { topiclog.NewFollower(t, handler, time.Hour, 0).WithEras(t.eras).Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// TestRestoreEndsReadOfOtherTopic guards against a follower that learns that the store came back from an older copy only when its read ends, which
// waits for records at an offset that was given out again, although another topic has shown it.
func TestRestoreEndsReadOfOtherTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic, handler := &waitingTopic{eras: topiclog.NewEraTracker()}, &recordingHandler{}
		defer topic.follow(t.Context(), handler)()
		synctest.Wait()
		qt.Check(t, handler.events, qt.DeepEquals, []string{"reset 0", "caught up"})
		topic.eras.Observe(1)
		synctest.Wait()
		qt.Check(t, handler.events, qt.HasLen, 2)
		topic.eras.Observe(2)
		synctest.Wait()
		qt.Check(t, handler.events, qt.DeepEquals, []string{"reset 0", "caught up", "failed", "reset 0", "caught up"})
	})
}

// TestReadsAreShortInNewEra guards against a router that learns only at the end of a long read that the store is complete again.
func TestReadsAreShortInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &waitingTopic{eras: topiclog.NewEraTracker()}
		defer topic.follow(t.Context(), &recordingHandler{})()
		readsAfter := func(wait time.Duration) int64 {
			time.Sleep(wait)
			return topic.reads.Load()
		}
		topic.eras.Observe(topiclog.FirstEra)
		reads := readsAfter(time.Minute)
		qt.Check(t, reads, qt.Equals, int64(1))
		topic.eras.Observe(topiclog.FirstEra + 1)
		for range 10 {
			now := readsAfter(250 * time.Millisecond)
			qt.Check(t, now > reads, qt.IsTrue)
			reads = now
		}
		reads = readsAfter(time.Minute)
		qt.Check(t, readsAfter(time.Minute), qt.Equals, reads)
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
