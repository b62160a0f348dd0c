// Package metric holds the counters, gauges and histograms of a router and renders them in the Prometheus text format.
//
// The registry of go-metrics has no labels, so each metric is registered under the name of its family and its labels, for example
// chicorydale_refusals_total{code="malformed"}.
package metric
