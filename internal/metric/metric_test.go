package metric_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// text returns what a scrape of the registry reads.
func text(registry metrics.Registry) string {
	recorder := httptest.NewRecorder()
	metric.Handler(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

// TestScrape guards against a count under the wrong name or label, and against lines that Prometheus refuses.
func TestScrape(t *testing.T) {
	set := metric.New()
	set.CountRefusal(refusal.Malformed)
	set.CountRefusal("no such code")
	set.CountRetry(metric.RetryLate)
	set.Sent(metric.MessageKind(&fleetpb.Body{Kind: &fleetpb.Body_Grants{}}), true, 30)
	set.Sent(metric.MessageKind(&fleetpb.Body{Kind: &fleetpb.Body_ClaimVerdict{}}), false, 5)
	set.Sent(metric.MessageKind(&fleetpb.Body{}), false, 2)
	set.SetGauge(metric.FairnessGap, 12.5)
	set.SetGauge(metric.RefusalsTotal, 99)
	set.ObserveDuration(metric.FirstByte, 250*time.Millisecond)
	lines := strings.Split(strings.TrimSpace(text(set.Registry())), "\n")
	for _, want := range []string{
		`chicorydale_refusals_total{code="malformed"} 1`, `chicorydale_refusals_total{code="internal"} 1`,
		`chicorydale_refusals_total{code="expired"} 0`, `chicorydale_retries_total{reason="late"} 1`,
		`chicorydale_control_bytes_total 37`, `chicorydale_control_cross_bytes_total 30`,
		`chicorydale_control_kind_bytes_total{kind="grants",region="other"} 30`,
		`chicorydale_control_kind_bytes_total{kind="grants",region="same"} 0`,
		`chicorydale_control_kind_bytes_total{kind="claim_verdict",region="same"} 5`,
		`chicorydale_first_byte_seconds{quantile="0.95"} 0.25`, `chicorydale_first_byte_seconds_count 1`,
		`chicorydale_fairness_gap_units 12.5`, `# TYPE chicorydale_refusals_total counter`,
	} {
		qt.Check(t, lines, qt.Any(qt.Equals), want)
	}
	form := regexp.MustCompile(`^(# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{[a-z]+="[a-z0-9._]+"(,[a-z]+="[a-z_]+")*\})? [0-9.e+]+)$`)
	ended := make(map[string]bool)
	summaries := make(map[string]bool)
	family := ""
	for _, line := range lines {
		qt.Assert(t, form.MatchString(line), qt.IsTrue, qt.Commentf("%s", line))
		if name, found := strings.CutPrefix(line, "# HELP "); found {
			name, _, _ = strings.Cut(name, " ")
			qt.Assert(t, ended[name], qt.IsFalse, qt.Commentf("the lines of %s do not stand together", name))
			ended[family], family = true, name
		} else if name, found := strings.CutSuffix(line, " summary"); found {
			summaries[strings.TrimPrefix(name, "# TYPE ")] = true
		} else if !strings.HasPrefix(line, "#") {
			name := line[:strings.IndexAny(line, "{ ")]
			if summaries[family] {
				name = strings.TrimSuffix(strings.TrimSuffix(name, "_sum"), "_count")
			}
			qt.Assert(t, name, qt.Equals, family)
		}
	}
	qt.Assert(t, set.CounterValues()[`chicorydale_retries_total{reason="late"}`], qt.Equals, int64(1))
}

// TestFamilies guards against a metric without help and against help for a metric that no router has.
func TestFamilies(t *testing.T) {
	var rendered []metric.Family
	for line := range strings.Lines(text(metric.New().Registry())) {
		if name, found := strings.CutPrefix(line, "# HELP "); found {
			name, help, _ := strings.Cut(strings.TrimSpace(name), " ")
			qt.Assert(t, help, qt.Not(qt.Equals), metric.Family("none").Help())
			rendered = append(rendered, metric.Family(name))
		}
	}
	qt.Assert(t, rendered, qt.DeepEquals, metric.Families())
}

// TestRefusalPage guards against a refusal that callers cannot look up or that the page gives another status.
func TestRefusalPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/refusals.md")
	qt.Assert(t, err, qt.IsNil)
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| (no|unknown|no or unknown) \\| ([^|]+) \\| ([^|]+) \\|$")
	documented := make(map[refusal.Code]int)
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		code := refusal.Code(cells[1])
		_, twice := documented[code]
		qt.Assert(t, twice, qt.IsFalse, qt.Commentf("%s", code))
		documented[code], err = strconv.Atoi(cells[2])
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, documented, qt.DeepEquals, refusal.Codes())
}

// TestOperationsPage guards against a metric or a reason of retries that operators cannot look up.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	scrape := text(metric.New().Registry())
	var documented, reasons []string
	for _, cells := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|( gauge| counter| summary)?").FindAllStringSubmatch(string(page), -1) {
		if cells[2] == "" {
			reasons = append(reasons, cells[1])
			continue
		}
		documented = append(documented, cells[1])
		qt.Check(t, scrape, qt.Contains, "# TYPE "+cells[1]+cells[2]+"\n")
	}
	for _, family := range metric.Families() {
		qt.Check(t, documented, qt.Any(qt.Equals), string(family))
	}
	qt.Check(t, documented, qt.HasLen, len(metric.Families()))
	for _, reason := range metric.RetryReasons() {
		qt.Check(t, reasons, qt.Any(qt.Equals), string(reason))
	}
}
