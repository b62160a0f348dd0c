package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestWaitingDataCountsAsLateness guards against a router that takes itself to be on time while data waits that nobody reads: timers and new
// goroutines run before.
func TestWaitingDataCountsAsLateness(t *testing.T) {
	probe, err := gateway.NewReadProbe()
	qt.Assert(t, err, qt.IsNil)
	defer probe.Close()
	now := time.Now()
	qt.Check(t, probe.Delay(now), qt.Equals, time.Duration(0))
	probe.Send(now.Add(-time.Minute))
	qt.Check(t, probe.Delay(time.Now()) >= time.Minute, qt.IsTrue)
	for deadline := now.Add(handoverTimeout); probe.Delay(time.Now()) >= time.Minute; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		probe.Send(time.Now()) // It has no effect until the first byte was read.
	}
}
