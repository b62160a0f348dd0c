package requestqueue

import "cmp"

// schedulerAddress identifies the scheduler of one pool as the destination of messages.
type schedulerAddress struct {
	// host is the name of the router that runs the scheduler.
	host string
	// pool is the pool in the form of membership.Pool.String.
	pool string
}

// compare orders addresses by host, then by pool.
func (a schedulerAddress) compare(b schedulerAddress) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.pool, b.pool))
}
