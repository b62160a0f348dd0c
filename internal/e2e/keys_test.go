package e2e_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSameKeyThroughThreeRouters guards against a booking that runs twice, or whose callers get different results,
// because requests with the same idempotency key reach several routers at the same time.
func TestSameKeyThroughThreeRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addReplica("s1")
	f.addReplica("s2")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	const count = 50
	keys := newIdempotencyKeys(t, count)
	outcomes := f.bookAll(keys, f.routers, time.Time{})()
	answered := make(map[string]bool)
	for _, outcome := range outcomes {
		refusal := outcome.refusal(t)
		if refusal == nil {
			answered[outcome.key] = true
			continue
		}
		qt.Check(t, refusal.Code, qt.Equals, "key_busy")
		qt.Check(t, refusal.Ran, qt.Equals, "unknown")
	}
	qt.Check(t, answered, qt.HasLen, count)
	f.checkKeysRanOnce(outcomes)
	repeated := f.bookAll(keys, f.routers, time.Time{})()
	for _, outcome := range repeated {
		qt.Check(t, outcome.err, qt.IsNil)
		qt.Check(t, outcome.result.Replayed, qt.IsTrue)
	}
	f.checkKeysRanOnce(append(outcomes, repeated...))
	qt.Check(t, f.runCounts(), qt.HasLen, count)
}
