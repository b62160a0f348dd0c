package settings

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Settings are the settings of one router process. A value is immutable: With methods return changed copies.
type Settings struct {
	host, region, zone string
	listen, operate    netip.AddrPort
	link, log, hosts   netip.AddrPort
	operatorHashes     []string
	tick               time.Duration
	far                time.Duration
	claimWindow        time.Duration
	logRetention       time.Duration
	drain              time.Duration
	bodyBytes          int64
	logLevel           zerolog.Level
	seed               uint64
}

// Default returns the default settings, which suit one router on one machine.
func Default() Settings {
	loopback := netip.MustParseAddr("127.0.0.1")
	return Settings{
		host:         "router",
		region:       "local",
		zone:         "local",
		listen:       netip.AddrPortFrom(loopback, 8080),
		operate:      netip.AddrPortFrom(loopback, 8081),
		link:         netip.AddrPortFrom(loopback, 8082),
		log:          netip.AddrPortFrom(loopback, 8090),
		hosts:        netip.AddrPortFrom(loopback, 8091),
		tick:         10 * time.Millisecond,
		far:          time.Second,
		claimWindow:  time.Hour,
		logRetention: 24 * time.Hour,
		bodyBytes:    1 << 20,
		logLevel:     zerolog.InfoLevel,
		seed:         1,
	}
}

// Host returns the name of the router, unique in the host list.
func (s Settings) Host() string { return s.host }

// Region returns the region of the router.
func (s Settings) Region() string { return s.region }

// Zone returns the availability zone of the router.
func (s Settings) Zone() string { return s.zone }

// ListenAddr returns the address for callers and for the operators' API.
func (s Settings) ListenAddr() netip.AddrPort { return s.listen }

// MonitoringAddr returns the address for metrics, readiness and liveness.
func (s Settings) MonitoringAddr() netip.AddrPort { return s.operate }

// Link returns the address for links from other routers.
func (s Settings) Link() netip.AddrPort { return s.link }

// LogAddr returns the address of the log service.
func (s Settings) LogAddr() netip.AddrPort { return s.log }

// HostListAddr returns the address of the host list.
func (s Settings) HostListAddr() netip.AddrPort { return s.hosts }

// OperatorHashes returns the SHA-256 hashes of the operators' keys in lower-case hex.
func (s Settings) OperatorHashes() []string { return slices.Clone(s.operatorHashes) }

// TickPeriod returns the period of the decision core.
func (s Settings) TickPeriod() time.Duration { return s.tick }

// InterRegionPeriod returns the period in which schedulers of different regions exchange totals and summaries.
func (s Settings) InterRegionPeriod() time.Duration { return s.far }

// ClaimWindow returns the age after which an idempotency key is refused.
func (s Settings) ClaimWindow() time.Duration { return s.claimWindow }

// LogRetention returns how long the log service keeps a record.
func (s Settings) LogRetention() time.Duration { return s.logRetention }

// DrainTimeout returns the time limit of a graceful shutdown, zero for none.
func (s Settings) DrainTimeout() time.Duration { return s.drain }

// MaxBodyBytes returns the largest accepted request body in bytes.
func (s Settings) MaxBodyBytes() int64 { return s.bodyBytes }

// LogLevel returns the lowest level of events that are logged.
func (s Settings) LogLevel() zerolog.Level { return s.logLevel }

// Seed returns the seed of the random choices of the decision core.
func (s Settings) Seed() uint64 { return s.seed }

// MarshalJSON returns the settings as Parse reads them, with every field set.
func (s Settings) MarshalJSON() ([]byte, error) {
	values := make(map[string]any)
	for _, field := range fields() {
		values[field.Name] = field.value(s)
	}
	return json.Marshal(values)
}
