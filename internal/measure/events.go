package measure

import (
	"container/heap"
	"time"
)

// event is an action that is due at an instant of virtual time.
type event struct {
	dueAt    time.Duration
	sequence int
	action   func()
}

// eventHeap implements heap.Interface. The earliest event comes first; events of the same instant keep the order in
// which they were scheduled.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i runs before event j.
func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// eventQueue runs events in the order of virtual time. Its clock starts at zero.
type eventQueue struct {
	now          time.Duration
	lastSequence int
	pending      eventHeap
}

// schedule adds an action that runs after a delay.
func (q *eventQueue) schedule(delay time.Duration, action func()) {
	q.lastSequence++
	heap.Push(&q.pending, event{dueAt: q.now + delay, sequence: q.lastSequence, action: action})
}

// advance runs the events that are due by the given instant and sets the clock to it.
func (q *eventQueue) advance(instant time.Duration) {
	for len(q.pending) > 0 && q.pending[0].dueAt <= instant {
		next, _ := heap.Pop(&q.pending).(event)
		q.now = max(q.now, next.dueAt)
		next.action()
	}
	q.now = instant
}
