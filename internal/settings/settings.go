package settings

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Settings holds the settings of one router process. It is immutable and therefore safe for concurrent use; the With
// methods return changed copies without validation. Use Default or Parse to get a valid value.
type Settings struct {
	host, region, zone              string
	listenAddr, monitoringAddr      netip.AddrPort
	linkAddr, logAddr, hostListAddr netip.AddrPort
	operatorHashes                  []string
	tickPeriod                      time.Duration
	interRegionPeriod               time.Duration
	claimWindow                     time.Duration
	logRetention                    time.Duration
	drainTimeout                    time.Duration
	maxBodyBytes                    int64
	logLevel                        zerolog.Level
	seed                            uint64
}

// Default returns the default settings, which fit a single router with the log service and the host list on the same machine.
func Default() Settings {
	loopback := netip.MustParseAddr("127.0.0.1")
	return Settings{
		host:              "router",
		region:            "local",
		zone:              "local",
		listenAddr:        netip.AddrPortFrom(loopback, 8080),
		monitoringAddr:    netip.AddrPortFrom(loopback, 8081),
		linkAddr:          netip.AddrPortFrom(loopback, 8082),
		logAddr:           netip.AddrPortFrom(loopback, 8090),
		hostListAddr:      netip.AddrPortFrom(loopback, 8091),
		tickPeriod:        10 * time.Millisecond,
		interRegionPeriod: time.Second,
		claimWindow:       time.Hour,
		logRetention:      24 * time.Hour,
		maxBodyBytes:      1 << 20,
		logLevel:          zerolog.InfoLevel,
		seed:              1,
	}
}

// Host returns the name of the router, which is unique in the host list.
func (s Settings) Host() string { return s.host }

// Region returns the region in which the router runs.
func (s Settings) Region() string { return s.region }

// Zone returns the availability zone in which the router runs.
func (s Settings) Zone() string { return s.zone }

// ListenAddr returns the address on which the router serves callers and the operators' API.
func (s Settings) ListenAddr() netip.AddrPort { return s.listenAddr }

// MonitoringAddr returns the address on which the router serves metrics, readiness and liveness (setting "operate").
func (s Settings) MonitoringAddr() netip.AddrPort { return s.monitoringAddr }

// LinkAddr returns the address on which the router accepts connections from other routers.
func (s Settings) LinkAddr() netip.AddrPort { return s.linkAddr }

// LogAddr returns the address at which the router connects to the log service.
func (s Settings) LogAddr() netip.AddrPort { return s.logAddr }

// HostListAddr returns the address of the service that keeps the host list.
func (s Settings) HostListAddr() netip.AddrPort { return s.hostListAddr }

// OperatorHashes returns the SHA-256 hashes of the operators' API keys in lower-case hex. The caller owns the slice.
func (s Settings) OperatorHashes() []string { return slices.Clone(s.operatorHashes) }

// TickPeriod returns the time between two ticks of the router's control loop.
func (s Settings) TickPeriod() time.Duration { return s.tickPeriod }

// InterRegionPeriod returns the period in which schedulers of different regions exchange service totals once and summaries
// twice (setting "far_ms").
func (s Settings) InterRegionPeriod() time.Duration { return s.interRegionPeriod }

// ClaimWindow returns the maximum age of an accepted idempotency key.
func (s Settings) ClaimWindow() time.Duration { return s.claimWindow }

// LogRetention returns how long the log service keeps a record.
func (s Settings) LogRetention() time.Duration { return s.logRetention }

// DrainTimeout returns the time limit of a graceful shutdown; zero means no limit.
func (s Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// MaxBodyBytes returns the size of the largest accepted request body in bytes.
func (s Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// LogLevel returns the lowest level at which events are logged.
func (s Settings) LogLevel() zerolog.Level { return s.logLevel }

// Seed returns the seed of the router's random choices. The router mixes it with its incarnation, so every start differs.
func (s Settings) Seed() uint64 { return s.seed }

// MarshalJSON returns the settings in the form that Parse reads, with every field present.
func (s Settings) MarshalJSON() ([]byte, error) {
	values := make(map[string]any)
	for _, field := range allFields() {
		values[field.Name] = field.get(s)
	}
	return json.Marshal(values)
}
