package claim

import "time"

// Limits are the limits and intervals of claims. All routers of a fleet use the same values.
type Limits struct {
	// Window is the maximum age of an accepted key. It is at most half of the log's retention.
	Window time.Duration
	// MaxClockSkew is the maximum difference between any two clocks of callers, routers and the log.
	MaxClockSkew time.Duration
	// MinAppendInterval is the minimum time between two appends to one stream.
	MinAppendInterval time.Duration
	// RetryInterval is the time after which an unacknowledged record is sent or appended again. It is also the maximum
	// backoff after failed appends.
	RetryInterval time.Duration
	// ReadFailureGrace is how long reads of a stream must have been failing before its batcher refuses new claims.
	ReadFailureGrace time.Duration
	// MaxInFlightAppends is the maximum number of appends to one stream that have no result yet.
	MaxInFlightAppends int
	// MaxBatchBytes is the maximum size of a batch of several records. A single larger record is a batch of its own.
	MaxBatchBytes int
	// MaxMemoryBytes is the size of a batcher's key tables at which it refuses new claims.
	MaxMemoryBytes int
}

// DefaultLimits returns the limits that apply unless the deployment sets others.
func DefaultLimits() Limits {
	return Limits{
		Window:             time.Hour,
		MaxClockSkew:       5 * time.Second,
		MinAppendInterval:  20 * time.Millisecond,
		RetryInterval:      time.Second,
		ReadFailureGrace:   500 * time.Millisecond,
		MaxInFlightAppends: 8,
		MaxBatchBytes:      256 << 10,
		MaxMemoryBytes:     64 << 20,
	}
}
