package delayqueue

import "time"

// Queue holds each value back for a fixed delay. It is not safe for concurrent use.
type Queue[T any] struct {
	delay time.Duration
	items []delayedItem[T]
}

// delayedItem is a value with the time from which TakeDue returns it.
type delayedItem[T any] struct {
	dueAt time.Time
	value T
}

// NewQueue returns an empty queue that holds each value back for delay.
func NewQueue[T any](delay time.Duration) *Queue[T] {
	return &Queue[T]{delay: delay}
}

// Put adds a value. The time now must not be before that of an earlier call.
func (q *Queue[T]) Put(now time.Time, value T) {
	q.items = append(q.items, delayedItem[T]{dueAt: now.Add(q.delay), value: value})
}

// TakeDue removes the values whose delay has passed and returns them in the order in which they were added.
func (q *Queue[T]) TakeDue(now time.Time) []T {
	var due []T
	for len(q.items) > 0 && !q.items[0].dueAt.After(now) {
		due = append(due, q.items[0].value)
		q.items = q.items[1:]
	}
	return due
}
