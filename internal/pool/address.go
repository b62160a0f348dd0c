package pool

import "cmp"

// address is one pool at one router.
type address struct {
	host string
	pool string
}

// compare orders addresses.
func (a address) compare(b address) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.pool, b.pool))
}
