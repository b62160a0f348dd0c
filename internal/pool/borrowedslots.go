package pool

import "time"

// borrowedSlots are slots of one target that another pool has lent to this one.
type borrowedSlots struct {
	// owner is the router that schedules the lending pool.
	owner string
	// lender is the name of the lending pool.
	lender string
	// number is the lender's number of the loan.
	number uint64
	target string
	// remaining is the number of slots not used yet.
	remaining int
	// deadline is the time until which the slots may be granted.
	deadline time.Time
}
