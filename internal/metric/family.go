package metric

import (
	"maps"
	"slices"
)

// Family is the name of a Prometheus metric family: all metrics with the same name and different labels.
type Family string

// Metric families of a router. Each has a row in docs/OPERATIONS.md.
const (
	FairnessGap             Family = "chicorydale_fairness_gap_units"
	Utilisation             Family = "chicorydale_utilisation_ratio"
	ControlBytes            Family = "chicorydale_control_bytes_total"
	ControlCrossRegionBytes Family = "chicorydale_control_cross_bytes_total"
	ControlBytesByKind      Family = "chicorydale_control_kind_bytes_total"
	RefusalsTotal           Family = "chicorydale_refusals_total"
	EarlyExpiriesTotal      Family = "chicorydale_early_expiries_total"
	RetriesTotal            Family = "chicorydale_retries_total"
	PromptTokensTotal       Family = "chicorydale_prompt_tokens_total"
	IdleClosesTotal         Family = "chicorydale_idle_closes_total"
	CrossedRequestsTotal    Family = "chicorydale_crossed_requests_total"
	RequestsWaiting         Family = "chicorydale_requests_waiting"
	RequestsRunning         Family = "chicorydale_requests_running"
	ScheduledPools          Family = "chicorydale_pools_scheduled"
	Quarantined             Family = "chicorydale_quarantined"
	TargetsLeaving          Family = "chicorydale_targets_leaving"
	TargetsPaused           Family = "chicorydale_targets_paused"
	TargetPauseSeconds      Family = "chicorydale_target_pause_seconds"
	BodyBudget              Family = "chicorydale_body_budget_bytes"
	BodyHeld                Family = "chicorydale_body_held_bytes"
	BodyRefused             Family = "chicorydale_body_refused"
	Ready                   Family = "chicorydale_ready"
	Isolated                Family = "chicorydale_isolated"
	ZoneHeardRatio          Family = "chicorydale_zone_heard_ratio"
	ConfigVersion           Family = "chicorydale_config_version"
	ConfigStaleness         Family = "chicorydale_config_staleness_seconds"
	FirstByte               Family = "chicorydale_first_byte_seconds"
	RequestDuration         Family = "chicorydale_request_duration_seconds"
	LogDroppedLines         Family = "chicorydale_log_dropped_lines"
	MaxLateness             Family = "chicorydale_lateness_seconds"
)

// helpTexts maps each metric family to its help text.
var helpTexts = map[Family]string{
	FairnessGap:             "Largest service gap of two comparable customers that this router knows, in cost units over weight.",
	Utilisation:             "Busy part of the slots that this router schedules, 0 to 1.",
	ControlBytes:            "Bytes of control messages sent to other routers.",
	ControlCrossRegionBytes: "Bytes of control messages sent to routers of other regions.",
	ControlBytesByKind:      "Bytes of control messages sent, by kind of message and region of the receiver.",
	RefusalsTotal:           "Refused requests by code.",
	EarlyExpiriesTotal:      "Requests that expired before the deadline that counts from their read, because the router took them for older.",
	RetriesTotal:            "Retries by reason.",
	PromptTokensTotal:       "Prompt tokens of requests that got a target, by how the target is expected to get them.",
	IdleClosesTotal:         "Idle connections of callers that the router closed, by reason.",
	CrossedRequestsTotal:    "Requests that arrived within a second after the router had closed their idle connection, and got no answer.",
	RequestsWaiting:         "Requests of this router's callers that wait for a slot.",
	RequestsRunning:         "Requests of this router's callers that run on a target.",
	ScheduledPools:          "Pools that this router schedules.",
	Quarantined:             "Requests and parts of prompts that are refused because they crash targets.",
	TargetsLeaving:          "Targets that leave, by their records or by their answers.",
	TargetsPaused:           "Targets that want no requests from this router for a while.",
	TargetPauseSeconds:      "Sum over all targets of the seconds of pauses since the start of this router.",
	BodyBudget:              "Bytes that the bodies of requests and buffered answers may hold together, 0 if there is no limit.",
	BodyHeld:                "Bytes that the bodies of requests and buffered answers hold.",
	BodyRefused:             "Number of bodies since the start of this router that got no memory.",
	Ready:                   "1 if the router accepts new requests, else 0.",
	Isolated:                "1 if the router has reached neither the log nor another router for 15 s, else 0.",
	ZoneHeardRatio:          "Part of the listed routers of its availability zone that the router hears, 0 to 1.",
	ConfigVersion:           "Version of the configuration in force at this router.",
	ConfigStaleness:         "Seconds since this router last read the log to its end.",
	FirstByte:               "Time from the arrival of a request to the first byte of its answer.",
	RequestDuration:         "Time from the arrival of a request to the end of its answer.",
	MaxLateness:             "Largest delay of periodic work in the last second: the process gets too little processor time.",
	LogDroppedLines:         "Log lines that were dropped because the output was too slow.",
}

// Families returns all metric families, sorted by name.
func Families() []Family { return slices.Sorted(maps.Keys(helpTexts)) }

// Help returns the help text of the family, a placeholder if it has none.
func (f Family) Help() string {
	if text, found := helpTexts[f]; found {
		return text
	}
	return "No description."
}
