package load_test

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/load"
)

// TestCalls guards against a load of another rate than asked for, and against one that differs between runs.
func TestCalls(t *testing.T) {
	plan := load.Plan{
		Rate: 100, Duration: 100 * time.Second, Seed: 7, Customers: []string{"a", "b"}, Classes: []string{"x", "y", "z"},
	}
	calls := slices.Collect(plan.Calls())
	qt.Assert(t, slices.Collect(plan.Calls()), qt.DeepEquals, calls)
	// Five standard deviations of a Poisson count of 10,000 are 500.
	qt.Assert(t, math.Abs(float64(len(calls))-10_000) < 500, qt.IsTrue, qt.Commentf("%d calls", len(calls)))
	counts := make(map[string]int)
	for i, call := range calls {
		counts[call.Customer+call.Class]++
		qt.Assert(t, i == 0 || calls[i-1].At <= call.At, qt.IsTrue)
	}
	qt.Assert(t, counts, qt.HasLen, 6)
	plan.Seed = 8
	qt.Assert(t, slices.Collect(plan.Calls()), qt.Not(qt.DeepEquals), calls)
}

// TestOpenLoop guards against a load that waits for answers before it goes on, and against latencies that leave out the
// time for which a call waited.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := load.Plan{Rate: 100, Duration: time.Second, Seed: 1, Classes: []string{"x"}, MaxInFlight: 1000}
		calls := int64(len(slices.Collect(plan.Calls())))
		summary := load.Run(t.Context(), plan, func(_ context.Context, _ load.Call) load.Outcome {
			<-time.After(2 * time.Second)
			first := time.Now()
			<-time.After(8 * time.Second)
			return load.Outcome{FirstTokenAt: first, Tokens: 3, Resumes: 1}
		})
		qt.Assert(t, summary.Elapsed < 11*time.Second, qt.IsTrue, qt.Commentf("%v", summary.Elapsed))
		rows := summary.Rows()
		qt.Assert(t, rows, qt.HasLen, 2)
		qt.Assert(t, rows[1].Group, qt.Equals, "class x")
		qt.Assert(t, rows[0].Answered, qt.Equals, calls)
		qt.Assert(t, rows[0].Tokens, qt.Equals, 3*calls)
		qt.Assert(t, summary.Resumes(), qt.Equals, calls)
		qt.Assert(t, math.Abs(rows[0].First.P50-2_000) <= 2, qt.IsTrue, qt.Commentf("%v", rows[0].First))
		qt.Assert(t, math.Abs(rows[0].Whole.P99-10_000) <= 10, qt.IsTrue, qt.Commentf("%v", rows[0].Whole))
	})
}

// TestCounts guards against a call that is counted in the wrong place or not at all.
func TestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := load.Plan{Rate: 10, Duration: 10 * time.Second, Seed: 1, Classes: []string{"x", "y", "z"}, MaxInFlight: 2}
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		summary := load.Run(ctx, plan, func(ctx context.Context, call load.Call) load.Outcome {
			switch call.Class {
			case "x":
				return load.Outcome{Code: "expired", Refused: true}
			case "y":
				return load.Outcome{Code: load.Broken}
			}
			<-ctx.Done()
			return load.Outcome{Code: load.Late}
		})
		due := int64(0)
		for call := range plan.Calls() {
			if call.At < 8*time.Second {
				due++
			}
		}
		codes, all := summary.Codes(), summary.Rows()[0]
		qt.Assert(t, codes["expired"]+codes[load.Broken]+codes[load.Late]+codes[load.Skipped], qt.Equals, due)
		qt.Assert(t, codes[load.Late], qt.Equals, int64(2))
		qt.Assert(t, codes[load.Skipped] > 0 && codes["expired"] > 0 && codes[load.Broken] > 0, qt.IsTrue)
		qt.Assert(t, all.Sent, qt.Equals, due-codes[load.Skipped])
		qt.Assert(t, all.Refused, qt.Equals, codes["expired"])
		qt.Assert(t, all.Failed, qt.Equals, due-codes["expired"])
	})
}
