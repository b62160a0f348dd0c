package gateway

import (
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/route"
)

// pendingDecision is a request that waits for the dispatcher's decision.
type pendingDecision struct {
	id uint64
	// decision receives the decision exactly once, unless the request is cancelled.
	decision chan dispatch.Decision
	// expiresAt is the time at which the waiter must call expire if there is no decision yet.
	expiresAt time.Time
}

// scheduler makes a dispatcher safe for concurrent use and delivers each decision to the goroutine that waits for it.
type scheduler struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// waiters holds the channels of requests without a decision, by request ID.
	waiters map[uint64]chan dispatch.Decision
}

// newScheduler returns a scheduler that owns the dispatcher.
func newScheduler(dispatcher *dispatch.Dispatcher) *scheduler {
	return &scheduler{dispatcher: dispatcher, waiters: make(map[uint64]chan dispatch.Decision)}
}

// withDispatcher calls action with exclusive access to the dispatcher and delivers the resulting decisions. action must
// not block or call methods of the scheduler.
func (s *scheduler) withDispatcher(action func(dispatcher *dispatch.Dispatcher, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.dispatcher, time.Now())
	s.deliverDecisions()
}

// deliverDecisions delivers new decisions to their waiters. The caller must hold s.mu.
func (s *scheduler) deliverDecisions() {
	for _, decision := range s.dispatcher.TakeDecisions() {
		if waiter, found := s.waiters[decision.ID]; found {
			delete(s.waiters, decision.ID)
			waiter <- decision
		}
	}
}

// applyTable configures the dispatcher with the cache capacities in a routing table.
func (s *scheduler) applyTable(table *route.Table) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, _ time.Time) {
		for name, service := range table.Services() {
			dispatcher.SetKVCapacity(name, service.KVCapacityTokens)
		}
	})
}

// submit passes a new request to the dispatcher.
func (s *scheduler) submit(request dispatch.Request) pendingDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register(s.dispatcher.Submit(time.Now(), request))
}

// resubmit passes a request to the dispatcher again, to be sent to another target. The request keeps its ID.
func (s *scheduler) resubmit(id uint64, request dispatch.Request) pendingDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Retry(time.Now(), id, request)
	return s.register(id)
}

// register creates the pending decision of a request. Its channel has room for the one decision, so delivery never blocks.
// The caller must hold s.mu.
func (s *scheduler) register(id uint64) pendingDecision {
	pending := pendingDecision{id: id, decision: make(chan dispatch.Decision, 1), expiresAt: s.dispatcher.WaitDeadline(id)}
	s.waiters[id] = pending.decision
	s.deliverDecisions()
	return pending
}

// cancel withdraws a request whose caller has disconnected. If a target was assigned meanwhile, the target is released.
func (s *scheduler) cancel(pending pendingDecision) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		dispatcher.Cancel(pending.id)
		dispatcher.Finish(now, pending.id, dispatch.Cancelled)
		delete(s.waiters, pending.id)
	})
}

// expire makes the dispatcher refuse a request that still waits. The decision is delivered as usual.
func (s *scheduler) expire(pending pendingDecision) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.Expire(now, pending.id) })
}

// accepts reports whether the target of a decision still takes new requests.
func (s *scheduler) accepts(target dispatch.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Accepts(time.Now(), target)
}

// hasTarget reports whether a target can take a request now that was sent to another one before.
func (s *scheduler) hasTarget(request dispatch.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.HasTarget(time.Now(), request)
}

// firstByteReceived records the first byte of a response. load is the load that the target reported, or nil.
func (s *scheduler) firstByteReceived(id uint64, load *dispatch.Load) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.RecordFirstByte(now, id, load) })
}

// recordRateLimit records the limit that a target's answer names, 0 for none, and reports whether it has changed.
func (s *scheduler) recordRateLimit(target string, perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.RecordRateLimit(time.Now(), target, perSecond)
}

// recordLeaving records that a target said that it leaves, and reports whether that is new. Waiting requests may be decided by it.
func (s *scheduler) recordLeaving(target dispatch.Target) (changed bool) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { changed = dispatcher.RecordLeaving(now, target) })
	return changed
}

// recordPause records that a target wants no requests until a time, and reports whether that is new.
func (s *scheduler) recordPause(target dispatch.Target, until time.Time) (changed bool) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		changed = dispatcher.RecordPause(now, target, until)
	})
	return changed
}

// recordSuccess records that a target has answered an attempt with success.
func (s *scheduler) recordSuccess(id uint64) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.RecordSuccess(now, id) })
}

// dataReceived records that a target sent further data of a response.
func (s *scheduler) dataReceived(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordData(time.Now(), id)
}

// finishAttempt records the end of a request at its target.
func (s *scheduler) finishAttempt(id uint64, outcome dispatch.Outcome) {
	s.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.Finish(now, id, outcome) })
}
