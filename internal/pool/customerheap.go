package pool

// customerHeap is a heap.Interface of customers with waiting requests, the one with the lowest service counter first.
type customerHeap []*customerQueue

// Len returns the number of customers.
func (h customerHeap) Len() int { return len(h) }

// Less reports whether customer i is served before customer j.
func (h customerHeap) Less(i, j int) bool { return compareByCounter(h[i], h[j]) < 0 }

// Swap exchanges two customers.
func (h customerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a customer.
func (h *customerHeap) Push(x any) { *h = append(*h, x.(*customerQueue)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop removes the last customer.
func (h *customerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
