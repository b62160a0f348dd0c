package share

import (
	"time"
)

// source is what one incarnation of one pool has reported.
type source struct {
	// seen holds the highest cumulative service of each customer.
	seen  map[uint32]uint64
	heard time.Time
	// asked holds the customers that the next answer must carry.
	asked map[uint32]struct{}
}
