package requestqueue

import "time"

// callDeadline is the caller's deadline of one call.
type callDeadline struct {
	at     time.Time
	callID uint64
}

// deadlineHeap is a min-heap of deadlines for container/heap. Entries of calls that have ended remain until they are popped.
type deadlineHeap []callDeadline

// Len implements sort.Interface.
func (e deadlineHeap) Len() int { return len(e) }

// Less implements sort.Interface. It orders by time, then by call ID.
func (e deadlineHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].callID < e[j].callID
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements sort.Interface.
func (e deadlineHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *deadlineHeap) Push(x any) { *e = append(*e, x.(callDeadline)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop implements heap.Interface.
func (e *deadlineHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
