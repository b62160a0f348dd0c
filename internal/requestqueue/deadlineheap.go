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
func (h deadlineHeap) Len() int { return len(h) }

// Less implements sort.Interface. It orders by time, then by call ID.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].callID < h[j].callID
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements sort.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(callDeadline)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
