package timerlag_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/timerlag"
)

// recordingTB is a test whose log lines and cleanup functions are recorded.
type recordingTB struct {
	testing.TB
	lines   []string
	cleanup func()
}

// Helper implements testing.TB.
func (*recordingTB) Helper() {}

// Cleanup implements testing.TB.
func (r *recordingTB) Cleanup(cleanup func()) { r.cleanup = cleanup }

// Logf implements testing.TB.
func (r *recordingTB) Logf(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// TestLogReportsOnce guards against a measurement that does not end with its test, and against a delay that is reported although the
// timers are on time.
func TestLogReportsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorded := &recordingTB{TB: t}
		timerlag.Log(recorded)
		time.Sleep(time.Second)
		recorded.cleanup()
		qt.Check(t, recorded.lines, qt.DeepEquals, []string{"the timers of this process were late by at most 0s"})
	})
}
