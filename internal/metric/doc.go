// Package metric holds the counters and gauges of a router and renders them in the Prometheus text format.
//
// The registry of go-metrics has no labels, so a metric is registered under its name with its labels, for example
// chicorydale_refusals_total{code="malformed"}.
package metric
