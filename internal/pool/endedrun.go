package pool

import "time"

// endedRun is the time span of a run that has ended.
type endedRun struct {
	// grantedAt is zero if the time is not known.
	grantedAt time.Time
	endedAt   time.Time
}
