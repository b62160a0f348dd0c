package pool

import "time"

// loan is a number of slots of one target that this pool has lent to another.
type loan struct {
	number uint64
	target string
	// remaining is the number of slots that have not been given back.
	remaining int
	grantedAt time.Time
	// deadline is the time until which the borrower may grant the slots.
	deadline time.Time
}
