package requestqueue

// RequestCounts counts the open requests of one customer at this router.
type RequestCounts struct {
	// Waiting is the number of requests without a grant.
	Waiting int
	// Running is the number of requests with a grant.
	Running int
	// WaitingBytes is the total size of the bodies of the waiting requests.
	WaitingBytes int
}

// CountsByCustomer returns the counts of all customers with an open request, by customer number.
func (q *Queue) CountsByCustomer() map[uint32]RequestCounts {
	all := make(map[uint32]RequestCounts)
	for customer, usage := range q.usages {
		if usage.open > 0 {
			all[customer] = RequestCounts{Waiting: usage.waiting, Running: usage.open - usage.waiting, WaitingBytes: usage.waitingBytes}
		}
	}
	return all
}

// IsWaiting reports whether a request is waiting for a grant. It returns false for unknown IDs.
func (q *Queue) IsWaiting(id uint64) bool {
	c, ok := q.calls[id]
	return ok && c.run == nil
}
