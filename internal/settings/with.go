package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// WithHost returns a copy with another name of the router.
func (s Settings) WithHost(name string) Settings {
	s.host = name
	return s
}

// WithLocation returns a copy with another region and availability zone.
func (s Settings) WithLocation(region, zone string) Settings {
	s.region, s.zone = region, zone
	return s
}

// WithListenAddr returns a copy with another address for callers and the operators' API.
func (s Settings) WithListenAddr(address netip.AddrPort) Settings {
	s.listenAddr = address
	return s
}

// WithMonitoringAddr returns a copy with another address for metrics, readiness and liveness.
func (s Settings) WithMonitoringAddr(address netip.AddrPort) Settings {
	s.monitoringAddr = address
	return s
}

// WithLinkAddr returns a copy with another address for connections from other routers.
func (s Settings) WithLinkAddr(address netip.AddrPort) Settings {
	s.linkAddr = address
	return s
}

// WithLogAddr returns a copy with another address of the log service.
func (s Settings) WithLogAddr(address netip.AddrPort) Settings {
	s.logAddr = address
	return s
}

// WithHostListAddr returns a copy with another address of the host list service.
func (s Settings) WithHostListAddr(address netip.AddrPort) Settings {
	s.hostListAddr = address
	return s
}

// WithOperatorHashes returns a copy with other SHA-256 hashes of the operators' API keys. It copies the slice.
func (s Settings) WithOperatorHashes(hashes ...string) Settings {
	s.operatorHashes = slices.Clone(hashes)
	return s
}

// WithTickPeriod returns a copy with another tick period of the control loop.
func (s Settings) WithTickPeriod(period time.Duration) Settings {
	s.tickPeriod = period
	return s
}

// WithInterRegionPeriod returns a copy with another period of the exchange between schedulers of different regions.
func (s Settings) WithInterRegionPeriod(period time.Duration) Settings {
	s.interRegionPeriod = period
	return s
}

// WithClaimWindow returns a copy with another maximum age of idempotency keys.
func (s Settings) WithClaimWindow(window time.Duration) Settings {
	s.claimWindow = window
	return s
}

// WithLogRetention returns a copy with another retention time of the log service.
func (s Settings) WithLogRetention(retention time.Duration) Settings {
	s.logRetention = retention
	return s
}

// WithDrainTimeout returns a copy with another time limit of a graceful shutdown; zero means no limit.
func (s Settings) WithDrainTimeout(limit time.Duration) Settings {
	s.drainTimeout = limit
	return s
}

// WithMaxBodyBytes returns a copy with another maximum size of a request body in bytes.
func (s Settings) WithMaxBodyBytes(limit int64) Settings {
	s.maxBodyBytes = limit
	return s
}

// WithLogLevel returns a copy with another lowest level at which events are logged.
func (s Settings) WithLogLevel(level zerolog.Level) Settings {
	s.logLevel = level
	return s
}

// WithSeed returns a copy with another seed of the random choices.
func (s Settings) WithSeed(seed uint64) Settings {
	s.seed = seed
	return s
}
