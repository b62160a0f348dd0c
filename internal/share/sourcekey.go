package share

import "cmp"

// sourceKey names one incarnation of one pool at one router.
type sourceKey struct {
	host        string
	source      string
	incarnation uint64
}

// compare orders source keys.
func (k sourceKey) compare(other sourceKey) int {
	return cmp.Or(cmp.Compare(k.host, other.host), cmp.Compare(k.source, other.source),
		cmp.Compare(k.incarnation, other.incarnation))
}
