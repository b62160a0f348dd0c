package e2e_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/timerlag"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// TestCrashingRequestIsQuarantined guards against a request that crashes one engine after another because routers keep
// retrying it, and against failures of other calls that did not run on a crashed engine.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, "10ms", "e1", "e2", "e3", "e4")
	streams := make([]*stream, 0, 12)
	for i := range 12 {
		customerClient := f.routers[i%len(f.routers)].client(customerBeta)
		streams = append(streams, startStream(t.Context(), customerClient, "long", fmt.Sprintf("brief %d", i), 200))
	}
	eventually(t, "all responses have started", func() bool { return allReceived(streams, 1) })
	checkQuarantined(t, startStream(t.Context(), f.routers[0].client(customerAlpha), "quick", crashWord, 10).wait(t))
	crashed := f.crashedEngines()
	qt.Assert(t, crashed, qt.HasLen, 2)
	for _, s := range streams {
		err := s.wait(t)
		if err == nil {
			continue
		}
		var refusal *client.Refusal
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, refusal.Code, qt.Equals, "target_failed")
		qt.Check(t, refusal.Ran, qt.Equals, "unknown")
		qt.Check(t, slices.Contains(crashed, s.target()), qt.IsTrue, qt.Commentf("%s", s.target()))
	}
	for _, name := range crashed {
		f.addEngine(name, "--interval", "10ms", "--slots", "8", "--crash-word", crashWord)
	}
	for _, r := range f.routers {
		checkQuarantined(t, startStream(t.Context(), r.client(customerAlpha), "quick", crashWord, 10).wait(t))
		qt.Check(t, f.crashedEngines(), qt.HasLen, 0)
	}
	for i, r := range f.routers {
		qt.Check(t, startStream(t.Context(), r.client(customerBeta), "quick", fmt.Sprintf("name %d", i), 10).wait(t), qt.IsNil)
	}
}

// TestCrashingRequestIsQuarantinedWithoutLog guards against routers that do not exchange crash records during a log outage,
// and against quarantining innocent calls that shared a target with the crashing request. Those that had produced no token
// are retried on a target without it and must return a complete response.
func TestCrashingRequestIsQuarantinedWithoutLog(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	f := newCrashFleet(t, "150ms", "e1", "e2", "e3")
	injectFault(t, f.logService, fault.Fault{Down: true})
	crashing := startStream(t.Context(), f.routers[0].client(customerAlpha), "quick", crashWord, 10)
	streams := make([]*stream, 0, 12)
	for i := range cap(streams) {
		customerClient := f.routers[i%len(f.routers)].client(customerBeta)
		streams = append(streams, startStream(t.Context(), customerClient, "quick", fmt.Sprintf("name %d", i), 4))
	}
	checkQuarantined(t, crashing.wait(t))
	for _, s := range streams {
		if err := s.wait(t); s.received.Load() == 0 {
			qt.Check(t, err, qt.IsNil)
		}
	}
	qt.Assert(t, f.crashedEngines(), qt.HasLen, 2)
	for _, r := range f.routers {
		checkQuarantined(t, startStream(t.Context(), r.client(customerAlpha), "quick", crashWord, 10).wait(t))
	}
	qt.Check(t, f.crashedEngines(), qt.HasLen, 2)
}

// crashWord is the prompt that makes an emulated engine crash.
const crashWord = "boom"

// newCrashFleet starts three routers and the named engines, which crash on crashWord. The interval is the time between tokens.
func newCrashFleet(t *testing.T, interval string, engines ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	for _, name := range engines {
		f.addEngine(name, "--interval", interval, "--slots", "8", "--crash-word", crashWord)
	}
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	return f
}

// checkQuarantined checks that a call was refused as quarantined, without a time to retry at.
func checkQuarantined(t *testing.T, err error) {
	t.Helper()
	var refusal *client.Refusal
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Code, qt.Equals, "quarantined")
	qt.Check(t, refusal.RetryAt.IsZero(), qt.IsTrue)
}

// crashedEngines returns the sorted names of the engines whose processes have exited.
func (f *fleet) crashedEngines() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		if f.engines[name].hasExited() {
			names = append(names, name)
		}
	}
	return names
}
