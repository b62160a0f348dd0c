package wholepath_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// TestRequestThatCrashesEngines guards against a request that crashes one engine after the other, and against harm to
// the calls beside it beyond the crash itself.
func TestRequestThatCrashesEngines(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, "10ms", "e1", "e2", "e3", "e4")
	streams := make([]*stream, 0, 12)
	for i := range 12 {
		through := f.routers[i%len(f.routers)].client(beta)
		streams = append(streams, generate(t.Context(), through, "long", fmt.Sprintf("brief %d", i), 200))
	}
	eventually(t, "all answers have begun", func() bool { return allSeen(streams, 1) })
	wantQuarantined(t, generate(t.Context(), f.routers[0].client(alpha), "quick", crashWord, 10).wait(t))
	crashed := f.crashed()
	qt.Assert(t, crashed, qt.HasLen, 2)
	for _, each := range streams {
		err := each.wait(t)
		if err == nil {
			continue
		}
		var refusal *client.Refusal
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, refusal.Code, qt.Equals, "target_failed")
		qt.Check(t, refusal.Ran, qt.Equals, "unknown")
		qt.Check(t, slices.Contains(crashed, each.target()), qt.IsTrue, qt.Commentf("%s", each.target()))
	}
	for _, name := range crashed {
		f.addEngine(name, "--interval", "10ms", "--slots", "8", "--crash-word", crashWord)
	}
	for _, each := range f.routers {
		wantQuarantined(t, generate(t.Context(), each.client(alpha), "quick", crashWord, 10).wait(t))
		qt.Check(t, f.crashed(), qt.HasLen, 0)
	}
	for i, each := range f.routers {
		qt.Check(t, generate(t.Context(), each.client(beta), "quick", fmt.Sprintf("name %d", i), 10).wait(t), qt.IsNil)
	}
}

// TestCrashWithoutLog guards against routers that do not tell each other of crashes while the log is down, and against
// calls that are blamed for the crash of a target that they shared with the cause: they run again apart from it, and
// are whole because no token of them had come.
func TestCrashWithoutLog(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, "150ms", "e1", "e2", "e3")
	inject(t, f.log, fault.Fault{Down: true})
	cause := generate(t.Context(), f.routers[0].client(alpha), "quick", crashWord, 10)
	streams := make([]*stream, 0, 12)
	for i := range cap(streams) {
		through := f.routers[i%len(f.routers)].client(beta)
		streams = append(streams, generate(t.Context(), through, "quick", fmt.Sprintf("name %d", i), 4))
	}
	wantQuarantined(t, cause.wait(t))
	for _, each := range streams {
		if err := each.wait(t); each.seen.Load() == 0 {
			qt.Check(t, err, qt.IsNil)
		}
	}
	qt.Assert(t, f.crashed(), qt.HasLen, 2)
	for _, each := range f.routers {
		wantQuarantined(t, generate(t.Context(), each.client(alpha), "quick", crashWord, 10).wait(t))
	}
	qt.Check(t, f.crashed(), qt.HasLen, 2)
}

// crashWord makes a request crash its engine.
const crashWord = "boom"

// newCrashFleet starts three routers, and engines with a time between two tokens that a request can crash.
func newCrashFleet(t *testing.T, interval string, engines ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	for _, name := range engines {
		f.addEngine(name, "--interval", interval, "--slots", "8", "--crash-word", crashWord)
	}
	f.addRouters("r1", "r2", "r3")
	f.settle()
	return f
}

// wantQuarantined checks that a call was refused for good.
func wantQuarantined(t *testing.T, err error) {
	t.Helper()
	var refusal *client.Refusal
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Code, qt.Equals, "quarantined")
	qt.Check(t, refusal.RetryAt.IsZero(), qt.IsTrue)
}

// crashed returns the names of the engines that have ended, sorted.
func (f *fleet) crashed() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		if f.engines[name].ended() {
			names = append(names, name)
		}
	}
	return names
}
