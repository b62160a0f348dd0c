package share

import (
	"cmp"
	"time"
)

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

// source is what one incarnation of one pool has reported.
type source struct {
	// seen holds the highest cumulative service of each customer.
	seen  map[uint32]uint64
	heard time.Time
	// asked holds the customers that the next answer must carry.
	asked map[uint32]struct{}
}
