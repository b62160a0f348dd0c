package suspect

import "time"

// Limits are the limits and intervals of a Table.
type Limits struct {
	// RecordLifetime is the time from a crash to the expiry of its records. It must be at most half of the log's retention.
	RecordLifetime time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two routers.
	MaxClockSkew time.Duration
	// MaxRecords is the maximum number of records in the table.
	MaxRecords int
	// RetryInterval is the pause after a failed append, and the time after which a record that has not been read from the log is
	// appended again.
	RetryInterval time.Duration
	// PeerAppendDelay is the minimum time after which a router appends a peer's record that is still not in the log. Each router
	// adds a delay below the same value that depends on its name, so that not all routers append the record at the same time.
	PeerAppendDelay time.Duration
}

// DefaultLimits returns the limits that apply unless the deployment sets others.
func DefaultLimits() Limits {
	return Limits{
		RecordLifetime:  time.Hour,
		MaxClockSkew:    5 * time.Second,
		MaxRecords:      20_000,
		RetryInterval:   time.Second,
		PeerAppendDelay: 15 * time.Second,
	}
}
