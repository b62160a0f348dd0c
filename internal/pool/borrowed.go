package pool

import "time"

// borrowed is a number of slots of one target that another pool has lent.
type borrowed struct {
	owner    string
	lender   string
	number   uint64
	target   string
	left     int
	deadline time.Time
}
