package metric

import (
	"maps"
	"slices"
)

// Family is one metric, with all its labels.
type Family string

// Metrics of a router. Each has a row in docs/OPERATIONS.md.
const (
	FairnessGap             Family = "chicorydale_fairness_gap_units"
	Utilisation             Family = "chicorydale_utilisation_ratio"
	ControlBytes            Family = "chicorydale_control_bytes_total"
	ControlCrossRegionBytes Family = "chicorydale_control_cross_bytes_total"
	ControlBytesByKind      Family = "chicorydale_control_kind_bytes_total"
	RefusalsTotal           Family = "chicorydale_refusals_total"
	RetriesTotal            Family = "chicorydale_retries_total"
	RequestsWaiting         Family = "chicorydale_requests_waiting"
	RequestsRunning         Family = "chicorydale_requests_running"
	ScheduledPools          Family = "chicorydale_pools_scheduled"
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

// help maps each metric to its help text.
var help = map[Family]string{
	FairnessGap:             "Largest service gap of two comparable customers that this router knows, in cost units over weight.",
	Utilisation:             "Busy part of the slots that this router schedules, 0 to 1.",
	ControlBytes:            "Bytes of control messages sent to other routers.",
	ControlCrossRegionBytes: "Bytes of control messages sent to routers of other regions.",
	ControlBytesByKind:      "Bytes of control messages sent, by kind of message and region of the receiver.",
	RefusalsTotal:           "Refused requests by code.",
	RetriesTotal:            "Retries by reason.",
	RequestsWaiting:         "Requests of this router's callers that wait for a slot.",
	RequestsRunning:         "Requests of this router's callers that run on a target.",
	ScheduledPools:          "Pools that this router schedules.",
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

// Families returns all metrics, sorted by name.
func Families() []Family { return slices.Sorted(maps.Keys(help)) }

// Help returns the help text of the metric.
func (f Family) Help() string {
	if text, found := help[f]; found {
		return text
	}
	return "No description."
}
