package report_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/report"
)

// sampleLog is a log as a collector merges it from several hosts: one line has a prefix, one is cut off, one is foreign.
const sampleLog = `  1.5 host-a {"event":605,"customer":"c","route":"r1","status":200,"waited_ms":5,"first_ms":100,"expected_ms":90,"target_ms":95}
{"event":605,"customer":"c","route":"r1","status":200,"waited_ms":7,"first_ms":200,"expected_ms":90,"target_ms":60}
{"event":605,"customer":"d","route":"r1","status":500}
{"event":606,"customer":"d","route":"r2","code":"overloaded","reason":"too many requests wait"}
{"event":611,"customer":"d","code":"overloaded","reason":"too many requests wait","count":40}
{"event":608,"id":"x"}
{"event":609,"id":"y"}
{"event":606,"customer":"d","rou
no line of ours
`

// TestReport guards against requests that a report miscounts: refusals that are logged as a sum, answers with a server
// error, and lines that a log collector prefixed.
func TestReport(t *testing.T) {
	for key, want := range map[report.GroupBy]string{
		report.ByRoute: `
route  answered  failed  refused  waited  first byte   later than expected  off by
-      0         0       40       0/0/0   0/0/0        0/0/0                0/0/0
r1     2         1       0        5/5/5   100/100/100  -30/-30/-30          5/5/5
r2     0         0       1        0/0/0   0/0/0        0/0/0                0/0/0

refused for  reason                  count
overloaded   too many requests wait  41

callers left 1, streams broken 1, lines that cannot be read 2
`,
		report.ByCustomer: `
customer  answered  failed  refused  waited  first byte   later than expected  off by
c         2         0       0        5/5/5   100/100/100  -30/-30/-30          5/5/5
d         0         1       41       0/0/0   0/0/0        0/0/0                0/0/0

refused for  reason                  count
overloaded   too many requests wait  41

callers left 1, streams broken 1, lines that cannot be read 2
`,
	} {
		summary := report.New(key)
		qt.Assert(t, summary.AddLog(strings.NewReader(sampleLog)), qt.IsNil)
		var out strings.Builder
		qt.Assert(t, summary.WriteText(&out), qt.IsNil)
		qt.Check(t, "\n"+out.String(), qt.Equals, want)
	}
}

// TestReportListsTargetNotices guards against targets that leave by their own word, or pause, and that operators do not see.
func TestReportListsTargetNotices(t *testing.T) {
	const log = `{"event":506,"target":"t2"}
{"event":507,"target":"t1","pause_ms":1500}
{"event":507,"target":"t1","pause_ms":500}
`
	summary := report.New(report.ByRoute)
	qt.Assert(t, summary.AddLog(strings.NewReader(log)), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, summary.WriteText(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Contains, `
target  said that it leaves  pauses  ms in all
t1      0                    2       2000
t2      1                    0       0
`)
}
