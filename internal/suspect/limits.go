package suspect

import "time"

// Limits are the settings of the table of suspects.
type Limits struct {
	// RecordLifetime is the time after which a crash record is forgotten; it is at most half of the log's retention.
	RecordLifetime time.Duration
	// MaxClockSkew bounds the difference between the clocks of two routers.
	MaxClockSkew time.Duration
	// MaxRecords is the greatest number of records in the table.
	MaxRecords int
	// RetryInterval is the pause after an append without success.
	RetryInterval time.Duration
	// PeerAppendDelay is the time after which a router appends the record of a peer that is still not in the log; it is spread
	// over as much time again, so that not all routers append it.
	PeerAppendDelay time.Duration
}

// DefaultLimits returns the limits of a deployment that sets none.
func DefaultLimits() Limits {
	return Limits{
		RecordLifetime:  time.Hour,
		MaxClockSkew:    5 * time.Second,
		MaxRecords:      20_000,
		RetryInterval:   time.Second,
		PeerAppendDelay: 15 * time.Second,
	}
}
