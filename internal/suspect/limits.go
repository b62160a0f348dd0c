package suspect

import "time"

// Limits are the settings of the table of suspects.
type Limits struct {
	// Lifetime is the time after which a crash record is forgotten; it is at most half of the log's retention.
	Lifetime time.Duration
	// Skew bounds the difference between the clocks of two routers.
	Skew time.Duration
	// Records is the greatest number of records in the table.
	Records int
	// Repeat is the pause after an append without success.
	Repeat time.Duration
	// Adopt is the time after which a router appends the record of a peer that is still not in the log; it is spread
	// over as much time again, so that not all routers append it.
	Adopt time.Duration
}

// DefaultLimits returns the limits of a deployment that sets none.
func DefaultLimits() Limits {
	return Limits{
		Lifetime: time.Hour,
		Skew:     5 * time.Second,
		Records:  20_000,
		Repeat:   time.Second,
		Adopt:    15 * time.Second,
	}
}
