package e2e_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRouterKilledDuringStreams guards against a response with missing or repeated tokens after the router that streamed it
// was killed and the client resumed the stream through another router.
func TestRouterKilledDuringStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms")
	f.addEngine("e2", "--interval", "5ms")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	streams := make([]*stream, 0, 8)
	for i := range 8 {
		customerClient := newClient(t, customerAlpha, f.routers)
		streams = append(streams, startStream(t.Context(), customerClient, "long", fmt.Sprintf("brief %d", i), 400))
	}
	eventually(t, "all responses have 20 tokens", func() bool { return allReceived(streams, 20) })
	for _, s := range streams {
		qt.Assert(t, s.hasEnded(), qt.IsFalse)
	}
	f.routers[0].kill()
	for _, s := range streams {
		qt.Check(t, s.wait(t), qt.IsNil)
		qt.Check(t, s.resumes > 0, qt.IsTrue)
	}
}
