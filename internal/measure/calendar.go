package measure

import (
	"container/heap"
	"time"
)

// event is one event of the calendar.
type event struct {
	at     time.Duration
	number int
	action func()
}

// events is a heap of events, the earliest first and those of one instant in the order in which they were added.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// calendar runs events in the order of virtual time.
type calendar struct {
	now    time.Duration
	number int
	events events
}

// after adds an event.
func (c *calendar) after(wait time.Duration, action func()) {
	c.number++
	heap.Push(&c.events, event{at: c.now + wait, number: c.number, action: action})
}

// advance moves to an instant and runs what is due by then.
func (c *calendar) advance(to time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= to {
		next, _ := heap.Pop(&c.events).(event)
		c.now = max(c.now, next.at)
		next.action()
	}
	c.now = to
}
