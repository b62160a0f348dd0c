package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// WithHost returns a copy with another router name.
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
	s.listen = address
	return s
}

// WithMonitoringAddr returns a copy with another address for metrics, readiness and liveness.
func (s Settings) WithMonitoringAddr(address netip.AddrPort) Settings {
	s.operate = address
	return s
}

// WithLink returns a copy with another address for links.
func (s Settings) WithLink(address netip.AddrPort) Settings {
	s.link = address
	return s
}

// WithLogAddr returns a copy with another address of the log service.
func (s Settings) WithLogAddr(address netip.AddrPort) Settings {
	s.log = address
	return s
}

// WithHostListAddr returns a copy with another address of the host list.
func (s Settings) WithHostListAddr(address netip.AddrPort) Settings {
	s.hosts = address
	return s
}

// WithOperatorHashes returns a copy with other hashes of operators' keys.
func (s Settings) WithOperatorHashes(hashes ...string) Settings {
	s.operatorHashes = slices.Clone(hashes)
	return s
}

// WithTickPeriod returns a copy with another period of the decision core.
func (s Settings) WithTickPeriod(period time.Duration) Settings {
	s.tick = period
	return s
}

// WithInterRegionPeriod returns a copy with another period of the exchange between regions.
func (s Settings) WithInterRegionPeriod(period time.Duration) Settings {
	s.far = period
	return s
}

// WithClaimWindow returns a copy with another greatest age of idempotency keys.
func (s Settings) WithClaimWindow(window time.Duration) Settings {
	s.claimWindow = window
	return s
}

// WithLogRetention returns a copy with another retention of the log service.
func (s Settings) WithLogRetention(retention time.Duration) Settings {
	s.logRetention = retention
	return s
}

// WithDrainTimeout returns a copy with another time limit of a graceful shutdown.
func (s Settings) WithDrainTimeout(limit time.Duration) Settings {
	s.drain = limit
	return s
}

// WithMaxBodyBytes returns a copy with another largest request body.
func (s Settings) WithMaxBodyBytes(limit int64) Settings {
	s.bodyBytes = limit
	return s
}

// WithLogLevel returns a copy with another lowest level of logged events.
func (s Settings) WithLogLevel(level zerolog.Level) Settings {
	s.logLevel = level
	return s
}

// WithSeed returns a copy with another seed.
func (s Settings) WithSeed(seed uint64) Settings {
	s.seed = seed
	return s
}
