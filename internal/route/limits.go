package route

import "time"

// Limits holds the fleet-wide limits of the configuration.
type Limits struct {
	// MaxBodyBytes is the largest accepted request body in bytes.
	MaxBodyBytes int64
	// IdleTimeout is how long a caller's connection may stay open without a request.
	IdleTimeout time.Duration
	// TokensPerSecond is the combined throughput of all engines in weighted tokens per second: a token that is read counts
	// once, a generated token twice.
	TokensPerSecond float64
}
