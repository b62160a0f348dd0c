package share

import "time"

// total is the fleet-wide service of one customer.
type total struct {
	units uint64
	heard time.Time
}
