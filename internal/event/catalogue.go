package event

import "github.com/rs/zerolog"

// Levels of the events. Debug events concern single requests, info events mark a change of state or report figures, warnings
// need attention if they last, and errors need attention now.
const (
	levelDebug = zerolog.DebugLevel
	levelInfo  = zerolog.InfoLevel
	levelWarn  = zerolog.WarnLevel
	levelError = zerolog.ErrorLevel
)

// Events of the process.
var (
	Started      = Event{101, levelInfo, "started", []string{"zone", "listen", "operate", "link"}}
	Ready        = Event{102, levelInfo, "ready", []string{"version"}}
	NotReady     = Event{103, levelWarn, "not_ready", []string{"reason"}}
	Draining     = Event{104, levelInfo, "draining", []string{"open"}}
	Drained      = Event{105, levelInfo, "drained", []string{"took_ms"}}
	DrainCut     = Event{106, levelWarn, "drain_cut", []string{"open"}}
	Stopped      = Event{107, levelInfo, "stopped", nil}
	Failed       = Event{108, levelError, "failed", []string{"error"}}
	Panicked     = Event{109, levelError, "panicked", []string{"error", "stack"}}
	TickLate     = Event{110, levelWarn, "tick_late", []string{"late_ms"}}
	Reloaded     = Event{111, levelInfo, "reloaded", []string{"level"}}
	SettingsKept = Event{112, levelWarn, "settings_kept", []string{"error"}}
	LogGap       = Event{113, levelWarn, "log_gap", []string{"dropped"}}

	ProcessState = Event{114, levelInfo, "process_state", []string{
		"cpu_ms", "lag_ms", "collections", "heap_kb", "goroutines", "callers_new", "callers_active", "callers_idle",
		"targets_idle", "accepted", "handed_over", "taken_over",
	}}
	AcceptFailed = Event{115, levelWarn, "accept_failed", []string{"error"}}

	HostLate = Event{116, levelWarn, "host_late", []string{
		"without_peer", "at_limit", "unconfirmed", "after_failure", "open", "peers_spare_ms", "refused",
		"answered_by_peer", "answered_here", "broken_off", "queued_ms",
	}}
	CustomerUnread = Event{117, levelInfo, "customer_unread", []string{
		"service", "customer", "refused", "tokens", "usage", "demand", "fair_share",
	}}
)

// Events of the configuration that this router applies.
var (
	ConfigApplied = Event{201, levelInfo, "config_applied", []string{"version", "change", "author"}}
	TableApplied  = Event{202, levelInfo, "table_applied", []string{"version", "routes"}}
)

// Events of the log service and of the host list.
var (
	LogDown      = Event{301, levelWarn, "log_down", []string{"stream", "error"}}
	LogUp        = Event{302, levelInfo, "log_up", []string{"stream", "offset"}}
	LogExpired   = Event{303, levelError, "log_expired", []string{"stream", "from", "first"}}
	LogUnsettled = Event{304, levelWarn, "log_unsettled", []string{"stream", "error"}}
	HostsDown    = Event{305, levelWarn, "hosts_down", []string{"error"}}
	HostsUp      = Event{306, levelInfo, "hosts_up", []string{"version"}}
	HostsChanged = Event{307, levelInfo, "hosts_changed", []string{"version", "hosts"}}

	StoreDown     = Event{308, levelWarn, "store_down", []string{"topic", "error", "age_ms"}}
	StoreUp       = Event{309, levelInfo, "store_up", []string{"topic"}}
	RecordInvalid = Event{310, levelWarn, "record_invalid", []string{"topic", "key", "error"}}

	OriginsLoaded  = Event{311, levelInfo, "origins_loaded", []string{"streams", "took_ms"}}
	OriginsUnsaved = Event{312, levelWarn, "origins_unsaved", []string{"what", "error"}}

	StoreRestored = Event{313, levelWarn, "store_restored", []string{"era"}}
	EraUnrecorded = Event{314, levelWarn, "era_unrecorded", []string{"era", "error"}}
)

// Events of other routers, of the connections to them and of the roles that this router takes over from them or hands over.
var (
	LinkUp      = Event{401, levelInfo, "link_up", []string{"peer"}}
	LinkDown    = Event{402, levelInfo, "link_down", []string{"peer"}}
	PeerUp      = Event{404, levelInfo, "peer_up", []string{"peer"}}
	PeerDown    = Event{405, levelWarn, "peer_down", []string{"peer"}}
	PeerLeaving = Event{406, levelInfo, "peer_leaving", []string{"peer"}}
	RoleGained  = Event{407, levelInfo, "role_gained", []string{"role"}}
	RoleLost    = Event{408, levelInfo, "role_lost", []string{"role", "holder"}}
	Isolated    = Event{409, levelWarn, "isolated", []string{"live", "listed"}}
	Rejoined    = Event{410, levelInfo, "rejoined", []string{"live", "listed"}}

	AnnounceFailed = Event{411, levelWarn, "announce_failed", []string{"error"}}
	StoreShared    = Event{412, levelInfo, "store_shared", []string{"topic", "peer"}}
	StoreUnshared  = Event{413, levelInfo, "store_unshared", []string{"topic", "peer", "error"}}

	HandoverFailed  = Event{414, levelWarn, "handover_failed", []string{"peer", "error"}}
	HandoverOverdue = Event{415, levelWarn, "handover_overdue", []string{"id", "peer", "waited_ms", "status"}}

	HandoverUnanswered = Event{416, levelWarn, "handover_unanswered", []string{"id", "peer", "waited_ms", "status", "error"}}
)

// Events of the targets.
var (
	TargetAdded   = Event{501, levelInfo, "target_added", []string{"target", "pool", "build"}}
	TargetLeaving = Event{502, levelInfo, "target_leaving", []string{"target"}}
	TargetGone    = Event{503, levelInfo, "target_gone", []string{"target"}}
	TargetCrashed = Event{504, levelWarn, "target_crashed", []string{"target", "error"}}
	TargetLimited = Event{505, levelInfo, "target_limited", []string{"target", "limit"}}
	TargetNotice  = Event{506, levelInfo, "target_notice", []string{"target"}}
	TargetPaused  = Event{507, levelInfo, "target_paused", []string{"target", "pause_ms"}}
	TargetResumed = Event{508, levelInfo, "target_resumed", []string{"target"}}

	TargetHeaderInvalid = Event{509, levelWarn, "target_header_invalid", []string{"target", "error"}}
)

// Events of requests.
var (
	Refused   = Event{601, levelDebug, "refused", []string{"code", "customer", "message"}}
	Retried   = Event{602, levelDebug, "retried", []string{"reason", "customer", "target"}}
	Resumed   = Event{603, levelDebug, "resumed", []string{"customer", "target", "index"}}
	Abandoned = Event{604, levelDebug, "abandoned", []string{"customer", "target", "error"}}

	RequestAnswered = Event{605, levelInfo, "request_answered", []string{
		"id", "customer", "route", "target", "status", "sent", "waited_ms", "first_ms", "took_ms", "bytes", "prompt",
		"missing", "version", "expected_ms", "target_ms", "framing", "partial", "build",
		"resumes", "fetched",
	}}
	RequestRefused = Event{606, levelInfo, "request_refused", []string{
		"id", "customer", "route", "code", "reason", "ran", "status", "retry_ms", "waited_ms", "took_ms", "sent", "version",
		"config_age_ms", "unread_ms",
	}}
	AttemptFailed = Event{607, levelInfo, "attempt_failed", []string{
		"id", "target", "outcome", "error", "sent", "again", "took_ms", "customer", "head", "parts", "framing", "build",
	}}
	CallerLeft     = Event{608, levelInfo, "caller_left", []string{"id", "target", "took_ms"}}
	StreamBroken   = Event{609, levelInfo, "stream_broken", []string{"id", "target", "bytes", "error"}}
	RefusalsSummed = Event{611, levelInfo, "refusals_summed", []string{"customer", "code", "reason", "count"}}
	ServiceState   = Event{610, levelInfo, "service_state", []string{
		"service", "targets", "sound", "open", "running", "occupied", "slots", "waiting", "unread", "speed", "base_ms", "pace",
		"peers_waiting",
	}}
	CustomerState = Event{612, levelInfo, "customer_state", []string{
		"service", "customer", "asked", "started", "refused", "usage", "demand", "share",
	}}
	RequestCut = Event{613, levelWarn, "request_cut", []string{"bytes", "took_ms", "error", "id", "partial", "write_error", "unread_ms"}}
)

// Events of at-most-once claims.
var (
	ClaimLost    = Event{701, levelInfo, "claim_lost", []string{"claim"}}
	ClaimUnknown = Event{702, levelWarn, "claim_unknown", []string{"claim", "reason"}}
)

// Events of requests that are suspected of crashing targets.
var (
	SuspectFound   = Event{801, levelWarn, "suspect_found", []string{"fingerprint", "customer", "target"}}
	SuspectRefused = Event{802, levelWarn, "suspect_refused", []string{"fingerprint", "customer"}}

	Quarantined      = Event{803, levelWarn, "quarantined", []string{"fingerprint", "crashes"}}
	QuarantineLifted = Event{804, levelInfo, "quarantine_lifted", []string{"fingerprint"}}
	QuarantineProbed = Event{805, levelInfo, "quarantine_probed", []string{"fingerprint", "id"}}

	QuarantineUnsaved = Event{806, levelWarn, "quarantine_unsaved", []string{"fingerprint", "error"}}
	ProbeUnclaimed    = Event{807, levelWarn, "probe_unclaimed", []string{"fingerprint", "error"}}

	ProbeUnsent       = Event{808, levelInfo, "probe_unsent", []string{"fingerprint", "id"}}
	ProbesNotReturned = Event{809, levelWarn, "probes_not_returned", []string{"probes", "error"}}
)

// All returns all events in ascending order of their numbers.
func All() []Event {
	return []Event{
		Started, Ready, NotReady, Draining, Drained, DrainCut, Stopped, Failed, Panicked, TickLate,
		Reloaded, SettingsKept, LogGap, ProcessState, AcceptFailed, HostLate, CustomerUnread,
		ConfigApplied, TableApplied,
		LogDown, LogUp, LogExpired, LogUnsettled, HostsDown, HostsUp, HostsChanged,
		StoreDown, StoreUp, RecordInvalid, OriginsLoaded, OriginsUnsaved, StoreRestored, EraUnrecorded,
		LinkUp, LinkDown, PeerUp, PeerDown, PeerLeaving, RoleGained, RoleLost, Isolated, Rejoined, AnnounceFailed,
		StoreShared, StoreUnshared, HandoverFailed, HandoverOverdue, HandoverUnanswered,
		TargetAdded, TargetLeaving, TargetGone, TargetCrashed, TargetLimited,
		TargetNotice, TargetPaused, TargetResumed, TargetHeaderInvalid,
		Refused, Retried, Resumed, Abandoned,
		RequestAnswered, RequestRefused, AttemptFailed, CallerLeft, StreamBroken, ServiceState, RefusalsSummed, CustomerState, RequestCut,
		ClaimLost, ClaimUnknown,
		SuspectFound, SuspectRefused, Quarantined, QuarantineLifted, QuarantineProbed, QuarantineUnsaved, ProbeUnclaimed,
		ProbeUnsent, ProbesNotReturned,
	}
}
