package keyed_test

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
	"github.com/chicorydale/chicorydale/internal/keyed"
)

// answer is what a call to a topic returns.
type answer struct {
	page keyed.Page
	err  error
}

// topic gives one answer after the other and then waits for the end of the test. It notes the calls.
type topic struct {
	answers []answer
	calls   []string
	done    chan struct{}
}

func (t *topic) next(ctx context.Context, call string) (keyed.Page, error) {
	t.calls = append(t.calls, call)
	if len(t.answers) == 0 {
		close(t.done)
		<-ctx.Done()
		return keyed.Page{}, ctx.Err()
	}
	next := t.answers[0]
	t.answers = t.answers[1:]
	return next.page, next.err
}

func (t *topic) ReadNewest(ctx context.Context) (keyed.Page, error) { return t.next(ctx, "newest") }

func (t *topic) Read(ctx context.Context, from uint64, _ time.Time) (keyed.Page, error) {
	return t.next(ctx, fmt.Sprint("read ", from))
}

func (t *topic) Put(context.Context, string, []byte) error { return nil }

// handler notes what it is told.
type handler struct{ told []string }

func (h *handler) Reset(_ time.Time, records []keyed.Record) {
	h.told = append(h.told, fmt.Sprint("reset ", len(records)))
}

func (h *handler) Apply(_ time.Time, records []keyed.Record) {
	h.told = append(h.told, fmt.Sprint("apply ", len(records)))
}

func (h *handler) CaughtUp(boottime.Instant) { h.told = append(h.told, "confirmed") }

func (h *handler) Failed(time.Time, error) { h.told = append(h.told, "failed") }

// TestFollow guards against records that are read twice or left out, against a follower that stops at an outage or at
// dropped records, and against a confirmation without an answer.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := []keyed.Record{{Key: "a", Value: []byte("x")}}
		store := &topic{done: make(chan struct{}), answers: []answer{
			{err: errors.New("down")},
			{page: keyed.Page{Records: records, NextOffset: 5}},
			{page: keyed.Page{Records: records, NextOffset: 6}},
			{err: errors.New("down")},
			{page: keyed.Page{NextOffset: 6}},
			{err: &keyed.ExpiredError{From: 6, First: 9}},
			{page: keyed.Page{Records: records, NextOffset: 12}},
		}}
		told := &handler{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			keyed.NewFollower(store, told, time.Second, 0).Run(ctx)
		}()
		<-store.done
		cancel()
		<-ended
		qt.Check(t, store.calls, qt.DeepEquals,
			[]string{"newest", "newest", "read 5", "read 6", "read 6", "read 6", "newest", "read 12"})
		qt.Check(t, told.told, qt.DeepEquals, []string{
			"failed", "reset 1", "confirmed", "apply 1", "confirmed", "failed", "apply 0", "confirmed", "failed",
			"reset 1", "confirmed",
		})
	})
}

// TestPause guards against a follower that asks a failing store again and again without a pause.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &topic{done: make(chan struct{})}
		for range 50 {
			store.answers = append(store.answers, answer{err: errors.New("too many calls")})
		}
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			keyed.NewFollower(store, &handler{}, time.Second, 0).Run(ctx)
		}()
		<-store.done
		qt.Check(t, time.Since(began) >= 5*time.Second, qt.IsTrue, qt.Commentf("50 calls in %v", time.Since(began)))
		cancel()
		<-ended
	})
}

// limitedStore is a topic that rejects calls while it is away, and notes when calls come.
type limitedStore struct {
	mu    sync.Mutex
	away  bool
	calls []time.Time
}

func (s *limitedStore) call() (keyed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	if s.away {
		return keyed.Page{}, errors.New("too many calls")
	}
	return keyed.Page{}, nil
}

func (s *limitedStore) ReadNewest(context.Context) (keyed.Page, error) { return s.call() }

func (s *limitedStore) Read(context.Context, uint64, time.Time) (keyed.Page, error) { return s.call() }

func (s *limitedStore) Put(context.Context, string, []byte) error { return nil }

// TestHerd guards against routers that ask a store which rejects calls all at the same moments, and all at once when it is
// back.
func TestHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 60
		// most is the number of calls in a tenth of a second: on average one in 0.4 s of each follower, and twice as many.
		const most = 2 * followers / 4
		store := &limitedStore{away: true}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range followers {
			running.Go(func() { keyed.NewFollower(store, &handler{}, 0, time.Second).Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		store.away = false
		store.mu.Unlock()
		time.Sleep(5 * time.Second)
		cancel()
		running.Wait()
		counts := make(map[int64]int)
		for _, at := range store.calls[followers:] {
			counts[at.UnixMilli()/100]++
		}
		for window, count := range counts {
			qt.Check(t, count <= most, qt.IsTrue, qt.Commentf("%d calls in window %d", count, window))
		}
	})
}
