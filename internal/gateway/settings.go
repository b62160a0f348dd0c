package gateway

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// Settings are the settings of a gateway.
type Settings struct {
	// Host is the name of the host that the router runs on.
	Host string
	// Locality is the availability zone and region of the host.
	Locality dispatch.Locality
	// CallerAddr is the listen address for callers, ReadyAddr for readiness checks of the load balancer, MetricsAddr for
	// metrics, LinkAddr for links from other routers, and HandoverAddr for connections of callers that other routers hand over. Without a
	// HandoverAddr, the router takes none.
	CallerAddr, ReadyAddr, MetricsAddr, LinkAddr, HandoverAddr netip.AddrPort
	// ProcessorShare is the part of a core that the router may use, zero if that is not known.
	ProcessorShare float64
	// MaxRevocationDelay is the time after which no router may accept a revoked API key. It is zero if keys are accepted
	// regardless of the age of the configuration.
	MaxRevocationDelay time.Duration
	// GracePeriod is the time from SIGTERM until the process is killed.
	GracePeriod time.Duration
	// RetryRatio is the number of retries per request that all routers together may send. RetryReserve is the number of
	// retries that they may send in addition.
	RetryRatio, RetryReserve float64
	// MaxOpenFiles is the number of file descriptors available for connections. When callers use more than their fraction
	// of it, their connections end with the next answer, and the longest idle ones before it.
	MaxOpenFiles int
	// BodyMemory is the number of bytes that the bodies of requests may hold together, zero if there is no limit.
	BodyMemory int64
	// LogLevel is the lowest level of events that are logged.
	LogLevel zerolog.Level
	// Seed initializes the random choices of the dispatcher.
	Seed uint64
}

// WithSeed returns a copy of the settings with another seed.
func (s Settings) WithSeed(seed uint64) Settings {
	s.Seed = seed
	return s
}
