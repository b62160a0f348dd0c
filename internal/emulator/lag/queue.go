package lag

import "time"

// Queue holds values until they are old enough to be shown. It is not safe for concurrent use.
type Queue[T any] struct {
	delay time.Duration
	items []item[T]
}

// item is a value with the instant at which it is shown.
type item[T any] struct {
	at    time.Time
	value T
}

// NewQueue returns a queue that shows each value after delay.
func NewQueue[T any](delay time.Duration) *Queue[T] {
	return &Queue[T]{delay: delay}
}

// Put adds a value.
func (q *Queue[T]) Put(now time.Time, value T) {
	q.items = append(q.items, item[T]{at: now.Add(q.delay), value: value})
}

// TakeDue removes the values that are old enough and returns them in the order in which they were added.
func (q *Queue[T]) TakeDue(now time.Time) []T {
	var due []T
	for len(q.items) > 0 && !q.items[0].at.After(now) {
		due = append(due, q.items[0].value)
		q.items = q.items[1:]
	}
	return due
}
