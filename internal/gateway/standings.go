package gateway

import (
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// standingTTL is the time for which the standing of a customer is used.
	standingTTL = 50 * time.Millisecond
	// maxStandings is the number of standings that are kept.
	maxStandings = 10_000
)

// standings tells at the accept what the fleet knows of customers, at a small cost. It is safe for concurrent use.
type standings struct {
	scheduler *scheduler

	mu    sync.Mutex
	byKey map[standingKey]cachedStanding
}

// standingKey identifies a customer at a service, both by name.
type standingKey struct {
	service, customer string
}

// cachedStanding is a standing that is used until a time.
type cachedStanding struct {
	standing overload.Standing
	until    time.Time
}

// newStandings returns what the dispatcher of a scheduler knows.
func newStandings(scheduler *scheduler) *standings {
	return &standings{scheduler: scheduler, byKey: make(map[standingKey]cachedStanding)}
}

// of returns what the customer of a request has got of its service. A request without a known service or customer, and one that takes up a stream,
// which may exceed the share, count as within the share.
func (s *standings) of(now time.Time, head *requestHead) overload.Standing {
	if head.service == "" || head.customer == "" || head.takesUpStream {
		return overload.WithinShare
	}
	key := standingKey{head.service, head.customer}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached := s.byKey[key]; now.Before(cached.until) {
		return cached.standing
	}
	if len(s.byKey) >= maxStandings {
		clear(s.byKey)
	}
	standing := s.read(now, key)
	s.byKey[key] = cachedStanding{standing, now.Add(standingTTL)}
	return standing
}

// read returns what the dispatcher knows now.
func (s *standings) read(now time.Time, key standingKey) overload.Standing {
	var state dispatch.ShareState
	s.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, _ time.Time) {
		state = dispatcher.ShareState(now, key.service, key.customer)
	})
	switch {
	case state.Exceeded:
		return overload.AboveShare
	case state.FarBelow:
		return overload.BelowShare
	}
	return overload.WithinShare
}
