package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/soak"
)

// TestRoutersUnderFaults guards against promises that routers break under faults of their processes and of their callers' connections.
func TestRoutersUnderFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chicorydale")
	build := exec.Command("go", "build", "-o", binary, "../..")
	output, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Seed: 1, Routers: 3, Until: 8 * time.Second})
	t.Logf("%v", report)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Violations, qt.HasLen, 0)
	complete := 0
	for i := range report.Calls {
		if report.Calls[i].Status == 200 && report.Calls[i].Complete {
			complete++
		}
	}
	qt.Check(t, complete > len(report.Calls)/4, qt.IsTrue, qt.Commentf("%d of %d calls", complete, len(report.Calls)))
}

// TestCheckSeesBrokenPromises guards against a checker that passes everything, and against one that blames routers for faults from outside.
func TestCheckSeesBrokenPromises(t *testing.T) {
	sound := soak.Call{ID: "a", Path: "/book/", Status: 200, AnswerID: "a", Body: "answer to a", Complete: true, SentAt: time.Second, EndedAt: time.Second}
	change := func(change func(*soak.Call)) soak.Call {
		changed := sound
		change(&changed)
		return changed
	}
	silent := change(func(c *soak.Call) { c.Status, c.Complete = 0, false })
	for _, c := range []struct {
		call   soak.Call
		runs   int
		fault  soak.Kind
		broken []soak.Promise
	}{
		{sound, 1, soak.Pause, nil},
		{sound, 2, soak.Kill, []soak.Promise{soak.AtMostOnce}},
		{sound, 0, soak.Kill, []soak.Promise{soak.TrueAnswer}},
		{change(func(c *soak.Call) { c.Status = 503 }), 1, soak.Kill, []soak.Promise{soak.TrueRefusal}},
		{change(func(c *soak.Call) { c.Body = "answer to b" }), 1, soak.Kill, []soak.Promise{soak.TrueAnswer}},
		{change(func(c *soak.Call) { c.AnswerID = "b" }), 1, soak.Kill, []soak.Promise{soak.TrueAnswer}},
		{change(func(c *soak.Call) { c.Complete = false }), 1, soak.Drain, []soak.Promise{soak.WholeAnswer}},
		{silent, 1, soak.Drain, []soak.Promise{soak.AnsweredIfRead}},
		{silent, 1, soak.Kill, nil},
		{silent, 0, soak.Drain, nil},
	} {
		fault := soak.Fault{Kind: c.fault, Begin: 0, End: 2 * time.Second}
		violations := soak.Check([]soak.Call{c.call}, map[string]int{"a": c.runs}, []soak.Fault{fault})
		broken := make([]soak.Promise, 0, len(violations))
		for _, violation := range violations {
			broken = append(broken, violation.Promise)
		}
		qt.Check(t, broken, qt.DeepEquals, append([]soak.Promise{}, c.broken...), qt.Commentf("%+v", c))
	}
}
