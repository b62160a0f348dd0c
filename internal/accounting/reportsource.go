package accounting

import (
	"time"
)

// reportSource is what one incarnation of one pool has reported for a shard.
type reportSource struct {
	// highestServed holds the highest reported cumulative service of each customer.
	highestServed map[uint32]uint64
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// toAnswer holds the customers that the next answer must carry.
	toAnswer map[uint32]struct{}
}
