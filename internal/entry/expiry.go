package entry

import "time"

// expiry is the deadline of one call.
type expiry struct {
	at time.Time
	id uint64
}

// expiries is a heap of deadlines, the earliest first; it may hold calls that have ended.
type expiries []expiry

// Len returns the number of deadlines.
func (e expiries) Len() int { return len(e) }

// Less orders deadlines, then calls.
func (e expiries) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].id < e[j].id
	}
	return e[i].at.Before(e[j].at)
}

// Swap exchanges two deadlines.
func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds a deadline.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) } //nolint:forcetypeassert // Used by container/heap only.

// Pop removes the last deadline.
func (e *expiries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
