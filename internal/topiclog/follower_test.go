package topiclog_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// response is what one read of a scriptedTopic returns.
type response struct {
	page topiclog.Page
	err  error
}

// scriptedTopic returns one response after the other. When there are none left, it closes exhausted and blocks until the context
// of the read is done. It records the reads.
type scriptedTopic struct {
	responses []response
	calls     []string
	exhausted chan struct{}
}

func (t *scriptedTopic) respond(ctx context.Context, call string) (topiclog.Page, error) {
	t.calls = append(t.calls, call)
	if len(t.responses) == 0 {
		close(t.exhausted)
		<-ctx.Done()
		return topiclog.Page{}, ctx.Err()
	}
	scripted := t.responses[0]
	t.responses = t.responses[1:]
	return scripted.page, scripted.err
}

func (t *scriptedTopic) ReadNewest(ctx context.Context) (topiclog.Page, error) {
	return t.respond(ctx, "newest")
}

func (t *scriptedTopic) Read(ctx context.Context, from uint64, _ time.Time) (topiclog.Page, error) {
	return t.respond(ctx, fmt.Sprint("read ", from))
}

func (t *scriptedTopic) Put(context.Context, string, []byte) error { return nil }

// recordingHandler records the calls of its methods.
type recordingHandler struct{ events []string }

func (h *recordingHandler) Reset(_ time.Time, records []topiclog.Record) {
	h.events = append(h.events, fmt.Sprint("reset ", len(records)))
}

func (h *recordingHandler) Apply(_ time.Time, records []topiclog.Record) {
	h.events = append(h.events, fmt.Sprint("apply ", len(records)))
}

func (h *recordingHandler) CaughtUp(boottime.Instant) { h.events = append(h.events, "caught up") }

func (h *recordingHandler) Failed(time.Time, error) { h.events = append(h.events, "failed") }

// TestFollowerRecovers guards against records that are read twice or skipped, against a follower that stops after an outage or
// after records have expired, and against calling CaughtUp without a successful read.
func TestFollowerRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := []topiclog.Record{{Key: "a", Value: []byte("x")}}
		topic := &scriptedTopic{exhausted: make(chan struct{}), responses: []response{
			{err: errors.New("down")},
			{page: topiclog.Page{Records: records, NextOffset: 5}},
			{page: topiclog.Page{Records: records, NextOffset: 6}},
			{err: errors.New("down")},
			{page: topiclog.Page{NextOffset: 6}},
			{err: &topiclog.ExpiredError{RequestedOffset: 6, OldestOffset: 9}},
			{page: topiclog.Page{Records: records, NextOffset: 12}},
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
		qt.Check(t, topic.calls, qt.DeepEquals,
			[]string{"newest", "newest", "read 5", "read 6", "read 6", "read 6", "newest", "read 12"})
		qt.Check(t, handler.events, qt.DeepEquals, []string{
			"failed", "reset 1", "caught up", "apply 1", "caught up", "failed", "apply 0", "caught up", "failed",
			"reset 1", "caught up",
		})
	})
}

// TestFollowerNoticesRestoredStore guards against a follower that goes on from an offset of the time before the store came back from an older
// copy, and against one that takes a page from that time afterwards.
func TestFollowerNoticesRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := []topiclog.Record{{Key: "a", Value: []byte("x")}}
		topic := &scriptedTopic{exhausted: make(chan struct{}), responses: []response{
			{page: topiclog.Page{Records: records, NextOffset: 5, Era: 1}},
			{page: topiclog.Page{Records: records, NextOffset: 6, Era: 2}},
			{page: topiclog.Page{Records: records, NextOffset: 3, Era: 2}},
			{page: topiclog.Page{Records: records, NextOffset: 7, Era: 1}},
			{page: topiclog.Page{Records: records, NextOffset: 4, Era: 2}},
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
		qt.Check(t, topic.calls, qt.DeepEquals, []string{"newest", "read 5", "newest", "read 3", "read 3", "read 4"})
		qt.Check(t, handler.events, qt.DeepEquals, []string{
			"reset 1", "caught up", "failed", "reset 1", "caught up", "failed", "apply 1", "caught up",
		})
	})
}

// TestRetryDelay guards against a follower that retries a failing store without a delay.
func TestRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &scriptedTopic{exhausted: make(chan struct{})}
		for range 50 {
			topic.responses = append(topic.responses, response{err: errors.New("too many calls")})
		}
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			topiclog.NewFollower(topic, &recordingHandler{}, time.Second, 0).Run(ctx)
		}()
		<-topic.exhausted
		qt.Check(t, time.Since(startedAt) >= 5*time.Second, qt.IsTrue, qt.Commentf("50 calls in %v", time.Since(startedAt)))
		cancel()
		<-done
	})
}

// rejectingTopic is a topic that fails reads while rejecting is set, and records when reads arrive.
type rejectingTopic struct {
	mu        sync.Mutex
	rejecting bool
	calls     []time.Time
}

func (t *rejectingTopic) call() (topiclog.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, time.Now())
	if t.rejecting {
		return topiclog.Page{}, errors.New("too many calls")
	}
	return topiclog.Page{}, nil
}

func (t *rejectingTopic) ReadNewest(context.Context) (topiclog.Page, error) { return t.call() }

func (t *rejectingTopic) Read(context.Context, uint64, time.Time) (topiclog.Page, error) {
	return t.call()
}

func (t *rejectingTopic) Put(context.Context, string, []byte) error { return nil }

// TestRetriesSpreadOut guards against a thundering herd: many routers that retry a failing store at the same moments, or that all
// read at once when it recovers.
func TestRetriesSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 60
		// maxCallsPerWindow is the permitted number of reads in 0.1 s: twice the average of one read per follower in 0.4 s.
		const maxCallsPerWindow = 2 * followers / 4
		topic := &rejectingTopic{rejecting: true}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range followers {
			running.Go(func() { topiclog.NewFollower(topic, &recordingHandler{}, 0, time.Second).Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		topic.mu.Lock()
		topic.rejecting = false
		topic.mu.Unlock()
		time.Sleep(5 * time.Second)
		cancel()
		running.Wait()
		counts := make(map[int64]int)
		for _, at := range topic.calls[followers:] {
			counts[at.UnixMilli()/100]++
		}
		for window, count := range counts {
			qt.Check(t, count <= maxCallsPerWindow, qt.IsTrue, qt.Commentf("%d calls in window %d", count, window))
		}
	})
}

// TestPartialPageConfirmsNothing guards against taking a part of a backlog for all of it: a page that the store has cut short would confirm
// that no newer records exist. The rest is read without a pause, and a part without records is not asked for in a busy loop.
func TestPartialPageConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := []topiclog.Record{{Key: "a", Value: []byte("x")}}
		topic := &scriptedTopic{exhausted: make(chan struct{}), responses: []response{
			{page: topiclog.Page{Records: records, NextOffset: 5}},
			{page: topiclog.Page{Records: records, NextOffset: 6, Partial: true}},
			{page: topiclog.Page{NextOffset: 6, Partial: true}},
			{page: topiclog.Page{Records: records, NextOffset: 7}},
		}}
		handler := &recordingHandler{}
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			topiclog.NewFollower(topic, handler, 0, time.Minute).Run(ctx)
		}()
		<-topic.exhausted
		elapsed := time.Since(startedAt) - 2*time.Minute // The pauses after the first and the last page.
		cancel()
		<-done
		qt.Check(t, handler.events, qt.DeepEquals,
			[]string{"reset 1", "caught up", "apply 1", "apply 0", "apply 1", "caught up"})
		qt.Check(t, elapsed > 0 && elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", elapsed))
	})
}

// contextTopic is a topic whose reads take a while and fail when their context ends.
type contextTopic struct{ topiclog.Topic }

func (contextTopic) Read(ctx context.Context, from uint64, _ time.Time) (topiclog.Page, error) {
	select {
	case <-time.After(10 * time.Millisecond):
		return topiclog.Page{NextOffset: from}, nil
	case <-ctx.Done():
		return topiclog.Page{}, ctx.Err()
	}
}

// TestReadAfterItsDeadlineIsSent guards against taking a sound store for down: a read that begins late, for example since a peer was asked
// in vain before, has the same time for its answer as any other.
func TestReadAfterItsDeadlineIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		page, err := topiclog.WithReadTimeout(contextTopic{}).Read(t.Context(), 3, time.Now().Add(-5*time.Second))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, page.NextOffset, qt.Equals, uint64(3))
	})
}
