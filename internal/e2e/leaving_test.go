package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
)

// TestLeavingTargetGetsNoCalls guards against new calls to a target that is marked as leaving, and against interrupting the
// streams that run there. One target is marked in the host list, another one in its load report while the host list is frozen.
func TestLeavingTargetGetsNoCalls(t *testing.T) {
	t.Parallel()
	// maxMarkDelay is the time limit for routers to learn of a mark; from then on the target must get no new call.
	const maxMarkDelay = 3 * time.Second
	f := newFleet(t)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.addEngine(name, "--interval", "10ms", "--slots", "8")
	}
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	streams := make([]*stream, 0, 15)
	for i := range cap(streams) {
		customerClient := f.routers[i%len(f.routers)].client(customerBeta)
		streams = append(streams, startStream(t.Context(), customerClient, "long", fmt.Sprintf("brief %d", i), 800))
	}
	eventually(t, "all responses have started", func() bool { return allReceived(streams, 1) })
	streamsPerTarget := countByTarget(streams)
	qt.Assert(t, streamsPerTarget["e1"] > 0 && streamsPerTarget["e2"] > 0, qt.IsTrue, qt.Commentf("%v", streamsPerTarget))
	f.markLeaving(f.hostList, "/hosts/e1/leaving")
	hostListDeadline := time.Now().Add(maxMarkDelay)
	for _, r := range f.routers {
		eventuallyWithin(t, maxMarkDelay, r.name+" sees e1 as leaving", func() bool { return r.seesLeaving("e1") })
	}
	injectFault(t, f.hostList, fault.Fault{FreezeReports: true})
	f.markLeaving(f.hostList, "/hosts/e2/leaving")
	f.markLeaving(f.engines["e2"], "/leaving")
	loadReportDeadline := time.Now().Add(maxMarkDelay)
	waitUntil(t, hostListDeadline)
	qt.Check(t, countByTarget(f.runQuickCalls("first"))["e1"], qt.Equals, 0)
	waitUntil(t, loadReportDeadline)
	callsPerTarget := countByTarget(f.runQuickCalls("second"))
	qt.Check(t, callsPerTarget, qt.DeepEquals, map[string]int{"e3": callsPerTarget["e3"]})
	for _, s := range streams {
		qt.Check(t, s.wait(t), qt.IsNil)
		qt.Check(t, s.resumes, qt.Equals, 0)
	}
}

// markLeaving marks a target as leaving through the given path of the host list or of the target itself.
func (f *fleet) markLeaving(system *process, path string) {
	f.t.Helper()
	status := requestJSON(http.MethodPost, system.address, path, "", nil, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent)
}

// seesLeaving reports whether the router sees a target as leaving.
func (r *router) seesLeaving(target string) bool {
	var known []struct {
		Name    string
		Leaving bool
	}
	requestJSON(http.MethodGet, r.address, "/v1/targets", operatorKey, nil, &known)
	for _, entry := range known {
		if entry.Name == target {
			return entry.Leaving
		}
	}
	return false
}

// runQuickCalls starts calls of class quick through all routers, waits for their end and checks that they succeeded.
func (f *fleet) runQuickCalls(prompt string) []*stream {
	f.t.Helper()
	calls := make([]*stream, 0, 24)
	for i := range cap(calls) {
		customerClient := f.routers[i%len(f.routers)].client(customerAlpha)
		calls = append(calls, startStream(f.t.Context(), customerClient, "quick", fmt.Sprintf("%s %d", prompt, i), 10))
	}
	for _, call := range calls {
		qt.Check(f.t, call.wait(f.t), qt.IsNil)
	}
	return calls
}

// countByTarget returns the number of streams that each target serves or served.
func countByTarget(streams []*stream) map[string]int {
	count := make(map[string]int)
	for _, s := range streams {
		count[s.target()]++
	}
	return count
}
