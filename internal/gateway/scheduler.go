package gateway

import (
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/route"
)

// ticket is a request for a target.
type ticket struct {
	id uint64
	// decided gets the decision.
	decided chan dispatch.Decision
	// until is the instant at which the request is to be expired if it still waits.
	until time.Time
}

// scheduler makes a dispatcher usable by several goroutines, and hands each decision to who waits for it.
type scheduler struct {
	mu      sync.Mutex
	core    *dispatch.Dispatcher
	tickets map[uint64]chan dispatch.Decision
}

// newScheduler returns the scheduler over a dispatcher.
func newScheduler(core *dispatch.Dispatcher) *scheduler {
	return &scheduler{core: core, tickets: make(map[uint64]chan dispatch.Decision)}
}

// do runs an action on the dispatcher and hands out its decisions.
func (s *scheduler) do(action func(core *dispatch.Dispatcher, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.core, time.Now())
	s.deliver()
}

// deliver hands out the decisions.
func (s *scheduler) deliver() {
	for _, decision := range s.core.Take() {
		if waiter, found := s.tickets[decision.ID]; found {
			delete(s.tickets, decision.ID)
			waiter <- decision
		}
	}
}

// configure takes over what a table says of the services.
func (s *scheduler) configure(table *route.Table) {
	s.do(func(core *dispatch.Dispatcher, _ time.Time) {
		for name, service := range table.Services() {
			core.Configure(name, service.KVCapacityTokens)
		}
	})
}

// submit enters a request.
func (s *scheduler) submit(request dispatch.Request) ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enter(s.core.Submit(time.Now(), request))
}

// repeat enters a request again that shall go to another target.
func (s *scheduler) repeat(id uint64, request dispatch.Request) ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Repeat(time.Now(), id, request)
	return s.enter(id)
}

// enter makes the ticket of a request. The channel holds the one decision, so that handing it out never blocks.
func (s *scheduler) enter(id uint64) ticket {
	made := ticket{id: id, decided: make(chan dispatch.Decision, 1), until: s.core.Until(id)}
	s.tickets[id] = made.decided
	s.deliver()
	return made
}

// cancel gives up a request; if it just got a target, that is released.
func (s *scheduler) cancel(given ticket) {
	s.do(func(core *dispatch.Dispatcher, now time.Time) {
		core.Cancel(given.id)
		core.Finish(now, given.id, dispatch.Cancelled)
		delete(s.tickets, given.id)
	})
}

// expire refuses a request that still waits.
func (s *scheduler) expire(given ticket) {
	s.do(func(core *dispatch.Dispatcher, now time.Time) { core.Expire(now, given.id) })
}

// answered notes the first byte of an answer.
func (s *scheduler) answered(id uint64, load *dispatch.Load) {
	s.do(func(core *dispatch.Dispatcher, now time.Time) { core.Answered(now, id, load) })
}

// heard notes that a target sent something.
func (s *scheduler) heard(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Heard(time.Now(), id)
}

// finish notes the end of a request at its target.
func (s *scheduler) finish(id uint64, outcome dispatch.Outcome) {
	s.do(func(core *dispatch.Dispatcher, now time.Time) { core.Finish(now, id, outcome) })
}
