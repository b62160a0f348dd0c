package metric

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// sample is one line of the text format. The suffix follows the name of the family: labels in braces, "_sum" or "_count".
type sample struct {
	family, suffix, metricType, value string
}

// Handler returns a handler that responds with the counters, gauges and histograms of a registry in the Prometheus text format,
// version 0.0.4, sorted by name. Histograms must hold durations in microseconds.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(render(registry)) // An error means only that the client has disconnected.
	})
}

// summarySamples returns the lines of a summary for a histogram of durations: the quantiles and the sum in seconds, and the
// count.
func summarySamples(family string, histogram metrics.Histogram) []sample {
	const microsecondsPerSecond = 1e6
	var samples []sample
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		samples = append(samples, sample{
			family: family, suffix: fmt.Sprintf("{quantile=%q}", strconv.FormatFloat(quantile, 'g', -1, 64)), metricType: "summary",
			value: strconv.FormatFloat(histogram.Percentile(quantile)/microsecondsPerSecond, 'g', -1, 64),
		})
	}
	return append(samples,
		sample{family, "_sum", "summary", strconv.FormatFloat(float64(histogram.Sum())/microsecondsPerSecond, 'g', -1, 64)},
		sample{family, "_count", "summary", strconv.FormatInt(histogram.Count(), 10)})
}

// render returns all metrics in the text format, which requires that all lines of a family form one group.
func render(registry metrics.Registry) []byte {
	var samples []sample
	registry.Each(func(name string, metric any) {
		family, labels, _ := strings.Cut(name, "{")
		if labels != "" {
			labels = "{" + labels
		}
		current := sample{family: family, suffix: labels, metricType: "gauge"}
		if histogram, ok := metric.(metrics.Histogram); ok {
			samples = append(samples, summarySamples(family, histogram.Snapshot())...)
			return
		}
		switch value := metric.(type) {
		case metrics.Counter:
			current.metricType, current.value = "counter", strconv.FormatInt(value.Count(), 10)
		case metrics.Gauge:
			current.value = strconv.FormatInt(value.Value(), 10)
		case metrics.GaugeFloat64:
			current.value = strconv.FormatFloat(value.Value(), 'g', -1, 64)
		default:
			return
		}
		samples = append(samples, current)
	})
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Or(cmp.Compare(a.family, b.family), cmp.Compare(a.suffix, b.suffix))
	})
	var text bytes.Buffer
	family := ""
	for _, s := range samples {
		if s.family != family {
			family = s.family
			fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n", family, Family(family).Help(), family, s.metricType)
		}
		fmt.Fprintf(&text, "%s%s %s\n", s.family, s.suffix, s.value)
	}
	return text.Bytes()
}
