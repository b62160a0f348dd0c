package entry

// RequestCounts counts the requests of one customer at this router.
type RequestCounts struct {
	// Waiting is the number of requests without a grant.
	Waiting int
	// Running is the number of requests with a grant.
	Running int
	// WaitingBytes is the sum of the bodies of the waiting requests.
	WaitingBytes int
}

// CountsByCustomer returns the counts of all customers that have a request open.
func (q *Queue) CountsByCustomer() map[uint32]RequestCounts {
	all := make(map[uint32]RequestCounts)
	for customer, used := range q.usages {
		if used.open > 0 {
			all[customer] = RequestCounts{Waiting: used.waiting, Running: used.open - used.waiting, WaitingBytes: used.bytes}
		}
	}
	return all
}

// IsWaiting returns whether a request waits.
func (q *Queue) IsWaiting(id uint64) bool {
	c, ok := q.calls[id]
	return ok && c.run == nil
}
