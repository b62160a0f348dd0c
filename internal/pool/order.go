package pool

// order is a heap of backlogged customers, the one with the lowest counter first.
type order []*backlog

// Len returns the number of customers.
func (o order) Len() int { return len(o) }

// Less orders customers by counter, then by number.
func (o order) Less(i, j int) bool { return compareBacklogs(o[i], o[j]) < 0 }

// Swap exchanges two customers.
func (o order) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push adds a customer.
func (o *order) Push(x any) { *o = append(*o, x.(*backlog)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop removes the last customer.
func (o *order) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
