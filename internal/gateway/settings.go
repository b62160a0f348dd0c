package gateway

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// Settings are the settings of a gateway. Periods are turned into deadlines where they are used.
type Settings struct {
	// Host is the name of the host.
	Host string
	// Place is the availability zone and region of the host.
	Place dispatch.Place
	// CallerAddr is the address for callers, Ready that for the load balancer, Metrics that for metrics, Link that for the
	// other routers.
	CallerAddr, ReadyAddr, MetricsAddr, LinkAddr netip.AddrPort
	// MaxRevocationDelay is the time after which a key that was taken away must not be accepted, on no router; zero if keys
	// are accepted however old the configuration is.
	MaxRevocationDelay time.Duration
	// GracePeriod is the time from SIGTERM to the forced end of the process.
	GracePeriod time.Duration
	// RetryRatio is the number of repeats that all routers may send for each request, RetryReserve the number beyond.
	RetryRatio, RetryReserve float64
	// MaxOpenFiles bounds the open files of the process.
	MaxOpenFiles int
	// LogLevel is the lowest level of events that are logged.
	LogLevel zerolog.Level
	// Seed is the seed of random choices.
	Seed uint64
}

// WithSeed returns the settings with another seed.
func (s Settings) WithSeed(seed uint64) Settings {
	s.Seed = seed
	return s
}
