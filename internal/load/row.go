package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row summarizes the calls of one group.
type Row struct {
	// Group is "all", "class NAME" or "customer NAME".
	Group string `json:"group"`
	// Sent counts the calls that were sent.
	Sent int64 `json:"sent"`
	// Answered counts the calls that were answered completely.
	Answered int64 `json:"answered"`
	// Refused counts the calls that a router refused.
	Refused int64 `json:"refused"`
	// Failed counts the calls that were neither answered nor refused, including those that were skipped.
	Failed int64 `json:"failed"`
	// Tokens counts the tokens of the answered calls.
	Tokens int64 `json:"tokens"`
	// FirstTokenLatency is the time to the first token of the answered calls.
	FirstTokenLatency LatencyStats `json:"first"`
	// TotalLatency is the time to the end of the answered calls.
	TotalLatency LatencyStats `json:"whole"`
}

// LatencyStats holds percentiles of latencies in milliseconds, counted from the scheduled start of each call.
type LatencyStats struct {
	// P50 is the median.
	P50 float64 `json:"p50_ms"`
	// P95 is the 95th percentile.
	P95 float64 `json:"p95_ms"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99_ms"`
	// Max is the maximum.
	Max float64 `json:"max_ms"`
}

// maxLatency is the upper bound of the histograms. Longer latencies are recorded as maxLatency.
const maxLatency = time.Hour

// groupStats accumulates the counts and latencies of one group. The latencies of the embedded Row stay zero; snapshot
// computes them. It is not safe for concurrent use.
type groupStats struct {
	Row
	firstTokenHistogram, totalHistogram *hdrhistogram.Histogram
}

// newGroupStats returns empty statistics for a group.
func newGroupStats(group string) *groupStats {
	const significantDigits = 3
	return &groupStats{
		Row:                 Row{Group: group},
		firstTokenHistogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		totalHistogram:      hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// add counts one call and, if it was answered, its latencies.
func (r *groupStats) add(scheduledAt, endedAt time.Time, outcome Outcome) {
	if outcome.Code != CodeSkipped {
		r.Sent++
	}
	switch {
	case outcome.Code == "":
		r.Answered++
		r.Tokens += outcome.Tokens
		recordLatency(r.totalHistogram, endedAt.Sub(scheduledAt))
		if !outcome.FirstTokenAt.IsZero() {
			recordLatency(r.firstTokenHistogram, outcome.FirstTokenAt.Sub(scheduledAt))
		}
	case outcome.Refused:
		r.Refused++
	default:
		r.Failed++
	}
}

// snapshot returns the counts and latency percentiles so far.
func (r *groupStats) snapshot() Row {
	row := r.Row
	row.FirstTokenLatency, row.TotalLatency = latencyStats(r.firstTokenHistogram), latencyStats(r.totalHistogram)
	return row
}

// recordLatency adds a latency to a histogram, limited to the range of 1 µs to maxLatency.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values outside of the range of the histogram.
	_ = histogram.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

// latencyStats returns the percentiles, in milliseconds, of a histogram in microseconds.
func latencyStats(histogram *hdrhistogram.Histogram) LatencyStats {
	percentileMS := func(percentile float64) float64 { return float64(histogram.ValueAtQuantile(percentile)) / 1000 }
	return LatencyStats{P50: percentileMS(50), P95: percentileMS(95), P99: percentileMS(99), Max: percentileMS(100)}
}
