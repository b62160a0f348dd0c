package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is the summary of the calls of one group.
type Row struct {
	// Group is "all", or a class or a customer.
	Group string `json:"group"`
	// Sent counts the calls that were sent.
	Sent int64 `json:"sent"`
	// Answered counts the whole answers.
	Answered int64 `json:"answered"`
	// Refused counts the refusals.
	Refused int64 `json:"refused"`
	// Failed counts the calls that were neither answered nor refused, and those that were skipped.
	Failed int64 `json:"failed"`
	// Tokens counts the tokens of whole answers.
	Tokens int64 `json:"tokens"`
	// First is the latency of the first tokens of whole answers.
	First Latency `json:"first"`
	// Whole is the latency of whole answers.
	Whole Latency `json:"whole"`
}

// Latency is a distribution of latencies in milliseconds.
type Latency struct {
	// P50 is the median.
	P50 float64 `json:"p50_ms"`
	// P95 is the 95th percentile.
	P95 float64 `json:"p95_ms"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99_ms"`
	// Max is the largest one.
	Max float64 `json:"max_ms"`
}

// longest is the largest latency that a histogram tells apart.
const longest = time.Hour

// row collects the calls of one group.
type row struct {
	Row
	first, whole *hdrhistogram.Histogram
}

// newRow returns an empty row.
func newRow(group string) *row {
	const digits = 3
	return &row{
		Row:   Row{Group: group},
		first: hdrhistogram.New(1, longest.Microseconds(), digits),
		whole: hdrhistogram.New(1, longest.Microseconds(), digits),
	}
}

// add counts one call.
func (r *row) add(due, end time.Time, outcome Outcome) {
	if outcome.Code != Skipped {
		r.Sent++
	}
	switch {
	case outcome.Code == "":
		r.Answered++
		r.Tokens += outcome.Tokens
		record(r.whole, end.Sub(due))
		if !outcome.FirstTokenAt.IsZero() {
			record(r.first, outcome.FirstTokenAt.Sub(due))
		}
	case outcome.Refused:
		r.Refused++
	default:
		r.Failed++
	}
}

// row returns the counts with the latencies so far.
func (r *row) row() Row {
	result := r.Row
	result.First, result.Whole = latency(r.first), latency(r.whole)
	return result
}

// record adds a latency to a histogram.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// The value is within the range of the histogram, so that there is no error.
	_ = histogram.RecordValue(min(max(latency, time.Microsecond), longest).Microseconds())
}

// latency returns the percentiles of a histogram of microseconds.
func latency(histogram *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}
