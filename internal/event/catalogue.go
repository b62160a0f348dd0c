package event

import "github.com/rs/zerolog"

// Levels of the events. Info events mark changes of state, warnings need attention if they last, errors need it now.
const (
	debug   = zerolog.DebugLevel
	info    = zerolog.InfoLevel
	warning = zerolog.WarnLevel
	failure = zerolog.ErrorLevel
)

// Events of the process.
var (
	Started      = Event{101, info, "started", []string{"zone", "listen", "operate", "link"}}
	Ready        = Event{102, info, "ready", []string{"version"}}
	NotReady     = Event{103, warning, "not_ready", []string{"reason"}}
	Draining     = Event{104, info, "draining", []string{"open"}}
	Drained      = Event{105, info, "drained", []string{"took_ms"}}
	DrainCut     = Event{106, warning, "drain_cut", []string{"open"}}
	Stopped      = Event{107, info, "stopped", nil}
	Failed       = Event{108, failure, "failed", []string{"error"}}
	Panicked     = Event{109, failure, "panicked", []string{"error", "stack"}}
	TickLate     = Event{110, warning, "tick_late", []string{"late_ms"}}
	Reloaded     = Event{111, info, "reloaded", []string{"level"}}
	SettingsKept = Event{112, warning, "settings_kept", []string{"error"}}
	LogGap       = Event{113, warning, "log_gap", []string{"dropped"}}

	ProcessState = Event{114, info, "process_state", []string{
		"cpu_ms", "lag_ms", "collections", "heap_kb", "goroutines", "callers_new", "callers_active", "callers_idle",
		"targets_idle",
	}}
	AcceptFailed = Event{115, warning, "accept_failed", []string{"error"}}
)

// Events of the configuration.
var (
	ConfigApplied = Event{201, info, "config_applied", []string{"version", "change", "author"}}
	TableApplied  = Event{202, info, "table_applied", []string{"version", "routes"}}
)

// Events of the log service and of the host list.
var (
	LogDown      = Event{301, warning, "log_down", []string{"stream", "error"}}
	LogUp        = Event{302, info, "log_up", []string{"stream", "offset"}}
	LogExpired   = Event{303, failure, "log_expired", []string{"stream", "from", "first"}}
	LogUnsettled = Event{304, warning, "log_unsettled", []string{"stream", "error"}}
	HostsDown    = Event{305, warning, "hosts_down", []string{"error"}}
	HostsUp      = Event{306, info, "hosts_up", []string{"version"}}
	HostsChanged = Event{307, info, "hosts_changed", []string{"version", "hosts"}}

	StoreDown     = Event{308, warning, "store_down", []string{"topic", "error", "age_ms"}}
	StoreUp       = Event{309, info, "store_up", []string{"topic"}}
	RecordInvalid = Event{310, warning, "record_invalid", []string{"topic", "key", "error"}}
)

// Events of the other routers.
var (
	LinkUp      = Event{401, info, "link_up", []string{"peer"}}
	LinkDown    = Event{402, info, "link_down", []string{"peer"}}
	PeerUp      = Event{404, info, "peer_up", []string{"peer"}}
	PeerDown    = Event{405, warning, "peer_down", []string{"peer"}}
	PeerLeaving = Event{406, info, "peer_leaving", []string{"peer"}}
	RoleGained  = Event{407, info, "role_gained", []string{"role"}}
	RoleLost    = Event{408, info, "role_lost", []string{"role", "holder"}}
	Isolated    = Event{409, warning, "isolated", []string{"live", "listed"}}
	Rejoined    = Event{410, info, "rejoined", []string{"live", "listed"}}

	AnnounceFailed = Event{411, warning, "announce_failed", []string{"error"}}
	StoreShared    = Event{412, info, "store_shared", []string{"topic", "peer"}}
	StoreUnshared  = Event{413, info, "store_unshared", []string{"topic", "peer", "error"}}
)

// Events of the targets.
var (
	TargetAdded   = Event{501, info, "target_added", []string{"target", "pool"}}
	TargetLeaving = Event{502, info, "target_leaving", []string{"target"}}
	TargetGone    = Event{503, info, "target_gone", []string{"target"}}
	TargetCrashed = Event{504, warning, "target_crashed", []string{"target", "error"}}
)

// Events of requests.
var (
	Refused   = Event{601, debug, "refused", []string{"code", "customer", "message"}}
	Retried   = Event{602, debug, "retried", []string{"reason", "customer", "target"}}
	Resumed   = Event{603, debug, "resumed", []string{"customer", "target", "index"}}
	Abandoned = Event{604, debug, "abandoned", []string{"customer", "target", "error"}}

	RequestAnswered = Event{605, info, "request_answered", []string{
		"id", "customer", "route", "target", "status", "sent", "waited_ms", "first_ms", "took_ms", "bytes", "prompt",
		"missing", "version", "expected_ms", "target_ms",
	}}
	RequestRefused = Event{606, info, "request_refused", []string{
		"id", "customer", "route", "code", "reason", "ran", "status", "retry_ms", "waited_ms", "took_ms", "sent", "version",
		"config_age_ms",
	}}
	AttemptFailed = Event{607, info, "attempt_failed", []string{
		"id", "target", "outcome", "error", "sent", "again", "took_ms",
	}}
	CallerLeft     = Event{608, info, "caller_left", []string{"id", "target", "took_ms"}}
	StreamBroken   = Event{609, info, "stream_broken", []string{"id", "target", "bytes", "error"}}
	RefusalsSummed = Event{611, info, "refusals_summed", []string{"customer", "code", "reason", "count"}}
	ServiceState   = Event{610, info, "service_state", []string{
		"service", "targets", "sound", "open", "running", "occupied", "slots", "waiting", "unread", "speed", "base_ms", "pace",
	}}
)

// Events of at-most-once claims.
var (
	ClaimLost    = Event{701, info, "claim_lost", []string{"claim"}}
	ClaimUnknown = Event{702, warning, "claim_unknown", []string{"claim", "reason"}}
)

// Events of requests that crash targets.
var (
	SuspectFound   = Event{801, warning, "suspect_found", []string{"fingerprint", "customer", "target"}}
	SuspectRefused = Event{802, warning, "suspect_refused", []string{"fingerprint", "customer"}}
)

// All returns all events, ordered by number.
func All() []Event {
	return []Event{
		Started, Ready, NotReady, Draining, Drained, DrainCut, Stopped, Failed, Panicked, TickLate,
		Reloaded, SettingsKept, LogGap, ProcessState, AcceptFailed,
		ConfigApplied, TableApplied,
		LogDown, LogUp, LogExpired, LogUnsettled, HostsDown, HostsUp, HostsChanged,
		StoreDown, StoreUp, RecordInvalid,
		LinkUp, LinkDown, PeerUp, PeerDown, PeerLeaving, RoleGained, RoleLost, Isolated, Rejoined, AnnounceFailed,
		StoreShared, StoreUnshared,
		TargetAdded, TargetLeaving, TargetGone, TargetCrashed,
		Refused, Retried, Resumed, Abandoned,
		RequestAnswered, RequestRefused, AttemptFailed, CallerLeft, StreamBroken, ServiceState, RefusalsSummed,
		ClaimLost, ClaimUnknown,
		SuspectFound, SuspectRefused,
	}
}
