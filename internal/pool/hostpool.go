package pool

import "cmp"

// hostPool identifies a pool at a router. It is the key under which the messages of one tick are batched.
type hostPool struct {
	host string
	pool string
}

// compare orders by host, then by pool.
func (a hostPool) compare(b hostPool) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.pool, b.pool))
}
