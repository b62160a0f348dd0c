package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/fault"
)

// Field describes one setting.
type Field struct {
	// Name is the JSON name.
	Name string
	// Unit is the unit or form of the value.
	Unit string
	// Range tells which values are accepted.
	Range string
	// Description is a sentence on the setting.
	Description string

	read  func(s *Settings, value json.RawMessage) []fault.Fault
	value func(s Settings) any
}

// Default returns the default value in JSON.
func (f Field) Default() string {
	text, err := json.Marshal(f.value(Default()))
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(text)
}

// Fields returns all settings in the order of the reference page.
func Fields() []Field { return fields() }

// fields returns the table of settings.
func fields() []Field {
	return append(placeFields(), limitFields()...)
}

// placeFields returns the settings of the router's place and addresses.
func placeFields() []Field {
	return []Field{
		name("host", "Name of the router, unique in the host list.", func(s *Settings) *string { return &s.host }),
		name("region", "Region of the router.", func(s *Settings) *string { return &s.region }),
		name("zone", "Availability zone of the router.", func(s *Settings) *string { return &s.zone }),
		address("listen", local, "Address for callers and for the operators' API.",
			func(s *Settings) *netip.AddrPort { return &s.listen }),
		address("operate", local, "Address for `/metrics`, `/ready` and `/live`.",
			func(s *Settings) *netip.AddrPort { return &s.operate }),
		address("link", local, "Address for links from other routers.",
			func(s *Settings) *netip.AddrPort { return &s.link }),
		address("log", remote, "Address of the log service.",
			func(s *Settings) *netip.AddrPort { return &s.log }),
		address("hosts", remote, "Address of the host list.",
			func(s *Settings) *netip.AddrPort { return &s.hosts }),
		hashes("operator_hashes", "Hashes of the operators' keys; with none, the operators' API refuses every key.",
			func(s *Settings) *[]string { return &s.operatorHashes }),
	}
}

// limitFields returns the settings of periods, limits and logging.
func limitFields() []Field {
	const day = 24 * time.Hour
	return []Field{
		period("tick_ms", time.Millisecond, time.Second, "Period of the decision core.",
			func(s *Settings) *time.Duration { return &s.tick }),
		period("far_ms", 500*time.Millisecond, 5*time.Second,
			"Period in which schedulers of different regions exchange service totals, and twice in it summaries; a shorter one "+
				"gives a smaller fairness gap and more traffic between regions.",
			func(s *Settings) *time.Duration { return &s.far }),
		period("claim_window_ms", time.Second, 365*day,
			"Age after which an idempotency key is refused; at most half of `log_retention_ms`.",
			func(s *Settings) *time.Duration { return &s.claimWindow }),
		period("log_retention_ms", 2*time.Second, 730*day, "How long the log service keeps a record.",
			func(s *Settings) *time.Duration { return &s.logRetention }),
		period("drain_ms", 0, day, "Time limit of a graceful shutdown; 0 for none.",
			func(s *Settings) *time.Duration { return &s.drain }),
		number("body_bytes", "bytes", 1, 1, 64<<20, "Largest accepted request body.",
			func(s *Settings) *int64 { return &s.bodyBytes }),
		level("log_level", "Lowest level of events that are logged.",
			func(s *Settings) *zerolog.Level { return &s.logLevel }),
		// Larger seeds lose digits in JSON tools that hold numbers as floating point.
		number("seed", "none", 1, 0, 1<<53-1, "Seed of the random choices of the decision core.",
			func(s *Settings) *uint64 { return &s.seed }),
	}
}
