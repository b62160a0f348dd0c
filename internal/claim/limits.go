package claim

import "time"

// Limits are the settings of claims. All routers of a fleet use the same values.
type Limits struct {
	// Window is the age up to which a key is accepted; it is at most half of the log's retention.
	Window time.Duration
	// Skew bounds the difference between any two clocks of callers, routers and the log.
	Skew time.Duration
	// Join is the least time between two appends to one stream.
	Join time.Duration
	// Repeat is the time after which an unacknowledged record is sent or appended again.
	Repeat time.Duration
	// Grace is the time of failing reads after which the log counts as down.
	Grace time.Duration
	// Flights is the greatest number of unanswered appends to one stream.
	Flights int
	// BatchBytes is the size from which a batch takes no further record.
	BatchBytes int
	// Memory is the size of a batcher's folds in bytes from which it refuses new claims.
	Memory int
}

// DefaultLimits returns the limits of a deployment that sets none.
func DefaultLimits() Limits {
	return Limits{
		Window:     time.Hour,
		Skew:       5 * time.Second,
		Join:       20 * time.Millisecond,
		Repeat:     time.Second,
		Grace:      500 * time.Millisecond,
		Flights:    8,
		BatchBytes: 256 << 10,
		Memory:     64 << 20,
	}
}
