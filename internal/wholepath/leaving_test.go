package wholepath_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
)

// TestLeavingTargets guards against new calls at a target that leaves, whether the mark comes in the host list or, while
// that is frozen, in the load report, and against a mark that interrupts running streams.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	// grace is the time after which a leaving target gets no new call.
	const grace = 3 * time.Second
	f := newFleet(t)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.addEngine(name, "--interval", "10ms", "--slots", "8")
	}
	f.addRouters("r1", "r2", "r3")
	f.settle()
	streams := make([]*stream, 0, 15)
	for i := range cap(streams) {
		through := f.routers[i%len(f.routers)].client(beta)
		streams = append(streams, generate(t.Context(), through, "long", fmt.Sprintf("brief %d", i), 800))
	}
	eventually(t, "all answers have begun", func() bool { return allSeen(streams, 1) })
	busy := targets(streams)
	qt.Assert(t, busy["e1"] > 0 && busy["e2"] > 0, qt.IsTrue, qt.Commentf("%v", busy))
	f.leave(f.hosts, "/hosts/e1/leaving")
	inListed := time.Now().Add(grace)
	for _, each := range f.routers {
		within(t, grace, each.name+" knows of the mark", func() bool { return each.leaves("e1") })
	}
	inject(t, f.hosts, fault.Fault{FreezeReports: true})
	f.leave(f.hosts, "/hosts/e2/leaving")
	f.leave(f.engines["e2"], "/leaving")
	inReport := time.Now().Add(grace)
	reach(t, inListed)
	qt.Check(t, targets(f.quickCalls("first"))["e1"], qt.Equals, 0)
	reach(t, inReport)
	last := targets(f.quickCalls("second"))
	qt.Check(t, last, qt.DeepEquals, map[string]int{"e3": last["e3"]})
	for _, each := range streams {
		qt.Check(t, each.wait(t), qt.IsNil)
		qt.Check(t, each.resumes, qt.Equals, 0)
	}
}

// leave marks a target as leaving.
func (f *fleet) leave(system *process, path string) {
	f.t.Helper()
	status := exchange(http.MethodPost, system.address, path, "", nil, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent)
}

// leaves tells whether the router knows a target as leaving.
func (r *router) leaves(target string) bool {
	var all []struct {
		Name    string
		Leaving bool
	}
	exchange(http.MethodGet, r.address, "/v1/targets", operatorKey, nil, &all)
	for _, each := range all {
		if each.Name == target {
			return each.Leaving
		}
	}
	return false
}

// quickCalls makes calls through each router and waits for their answers.
func (f *fleet) quickCalls(prompt string) []*stream {
	f.t.Helper()
	calls := make([]*stream, 0, 24)
	for i := range cap(calls) {
		through := f.routers[i%len(f.routers)].client(alpha)
		calls = append(calls, generate(f.t.Context(), through, "quick", fmt.Sprintf("%s %d", prompt, i), 10))
	}
	for _, each := range calls {
		qt.Check(f.t, each.wait(f.t), qt.IsNil)
	}
	return calls
}

// targets returns how many of the streams each target runs or ran.
func targets(streams []*stream) map[string]int {
	count := make(map[string]int)
	for _, each := range streams {
		count[each.target()]++
	}
	return count
}
