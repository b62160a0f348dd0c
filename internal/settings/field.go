package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/validation"
)

// Field describes one setting for parsing and for the reference page.
type Field struct {
	// Name is the name of the setting in JSON.
	Name string
	// Unit is the unit of a number, "none" for a number without unit, or the form of another value.
	Unit string
	// Range describes the accepted values.
	Range string
	// Description says in one sentence what the setting controls.
	Description string

	// set parses a JSON value into the settings and returns what is wrong with it.
	set func(s *Settings, value json.RawMessage) []validation.Fault
	// get returns the value of the setting as it is marshalled to JSON.
	get func(s Settings) any
}

// Default returns the default value of the setting in JSON.
func (f Field) Default() string {
	text, err := json.Marshal(f.get(Default()))
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(text)
}

// Fields returns all settings in the order of the reference page.
func Fields() []Field { return allFields() }

// allFields returns all settings in the order of the reference page.
func allFields() []Field {
	return append(locationFields(), limitFields()...)
}

// locationFields returns the settings for the router's name, location and addresses.
func locationFields() []Field {
	return []Field{
		nameField("host", "Name of the router, unique in the host list.", func(s *Settings) *string { return &s.host }),
		nameField("region", "Region of the router.", func(s *Settings) *string { return &s.region }),
		nameField("zone", "Availability zone of the router.", func(s *Settings) *string { return &s.zone }),
		addressField("listen", listenAddress, "Address for callers and for the operators' API.",
			func(s *Settings) *netip.AddrPort { return &s.listenAddr }),
		addressField("operate", listenAddress, "Address for `/metrics`, `/ready` and `/live`.",
			func(s *Settings) *netip.AddrPort { return &s.monitoringAddr }),
		addressField("link", listenAddress, "Address for connections from other routers.",
			func(s *Settings) *netip.AddrPort { return &s.linkAddr }),
		addressField("log", dialAddress, "Address of the log service.",
			func(s *Settings) *netip.AddrPort { return &s.logAddr }),
		addressField("hosts", dialAddress, "Address of the host list.",
			func(s *Settings) *netip.AddrPort { return &s.hostListAddr }),
		hashListField("operator_hashes", "Hashes of the operators' API keys; without any, the operators' API refuses every key.",
			func(s *Settings) *[]string { return &s.operatorHashes }),
	}
}

// limitFields returns the settings for periods, limits, logging and randomness.
func limitFields() []Field {
	const day = 24 * time.Hour
	return []Field{
		durationField("tick_ms", time.Millisecond, time.Second, "Time between two ticks of the router's control loop.",
			func(s *Settings) *time.Duration { return &s.tickPeriod }),
		durationField("far_ms", 500*time.Millisecond, 5*time.Second,
			"Period in which schedulers of different regions exchange service totals once and summaries twice; a shorter period "+
				"gives a smaller fairness gap and more traffic between regions.",
			func(s *Settings) *time.Duration { return &s.interRegionPeriod }),
		durationField("claim_window_ms", time.Second, 365*day,
			"Maximum age of an accepted idempotency key; at most half of `log_retention_ms`.",
			func(s *Settings) *time.Duration { return &s.claimWindow }),
		durationField("log_retention_ms", 2*time.Second, 730*day, "How long the log service keeps a record.",
			func(s *Settings) *time.Duration { return &s.logRetention }),
		durationField("drain_ms", 0, day, "Time limit of a graceful shutdown; 0 means no limit.",
			func(s *Settings) *time.Duration { return &s.drainTimeout }),
		numberField("body_bytes", "bytes", 1, 1, 64<<20, "Size of the largest accepted request body.",
			func(s *Settings) *int64 { return &s.maxBodyBytes }),
		logLevelField("log_level", "Lowest level at which events are logged.",
			func(s *Settings) *zerolog.Level { return &s.logLevel }),
		// 2^53-1 is the largest seed that JSON tools with floating-point numbers keep exactly.
		numberField("seed", "none", 1, 0, 1<<53-1, "Seed of the router's random choices.",
			func(s *Settings) *uint64 { return &s.seed }),
	}
}
