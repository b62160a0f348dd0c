package pool

import "time"

// loan is a number of slots of one target that another pool may use.
type loan struct {
	number   uint64
	target   string
	left     int
	granted  time.Time
	deadline time.Time
}
