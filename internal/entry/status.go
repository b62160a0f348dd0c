package entry

// Status counts the requests of one customer at this router.
type Status struct {
	// Waiting is the number of requests without a grant.
	Waiting int
	// Running is the number of requests with a grant.
	Running int
	// Bytes is the sum of the bodies of the waiting requests.
	Bytes int
}

// Status returns the counts of all customers that have a request open.
func (q *Queue) Status() map[uint32]Status {
	all := make(map[uint32]Status)
	for customer, used := range q.usages {
		if used.open > 0 {
			all[customer] = Status{Waiting: used.waiting, Running: used.open - used.waiting, Bytes: used.bytes}
		}
	}
	return all
}

// Waiting returns whether a request waits.
func (q *Queue) Waiting(id uint64) bool {
	c, ok := q.calls[id]
	return ok && c.run == nil
}
