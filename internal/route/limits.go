package route

import "time"

// Limits bound what callers may send. The periods are those of the configuration; users turn them into deadlines.
type Limits struct {
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64
	// IdleTimeout is how long a connection may be kept without a request.
	IdleTimeout time.Duration
	// TokensPerSecond is the number of weighted tokens that all engines process in a second: a token read counts once, a
	// token generated twice.
	TokensPerSecond float64
}
