package accounting

import "cmp"

// sourceKey identifies a source of reports: a pool at one incarnation of a router.
type sourceKey struct {
	host        string
	pool        string
	incarnation uint64
}

// compare orders by host, pool and incarnation.
func (k sourceKey) compare(other sourceKey) int {
	return cmp.Or(cmp.Compare(k.host, other.host), cmp.Compare(k.pool, other.pool),
		cmp.Compare(k.incarnation, other.incarnation))
}
