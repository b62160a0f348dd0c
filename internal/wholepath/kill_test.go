package wholepath_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRouterKilledDuringStreams guards against an answer with a gap, a doubled token or a missing end after the caller's
// router died.
func TestRouterKilledDuringStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms")
	f.addEngine("e2", "--interval", "5ms")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	streams := make([]*stream, 0, 8)
	for i := range 8 {
		through := newClient(t, alpha, f.routers)
		streams = append(streams, generate(t.Context(), through, "long", fmt.Sprintf("brief %d", i), 400))
	}
	eventually(t, "all answers have begun", func() bool { return allSeen(streams, 20) })
	for _, each := range streams {
		qt.Assert(t, each.ended(), qt.IsFalse)
	}
	f.routers[0].kill()
	for _, each := range streams {
		qt.Check(t, each.wait(t), qt.IsNil)
		qt.Check(t, each.resumes > 0, qt.IsTrue)
	}
}
