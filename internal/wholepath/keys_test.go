package wholepath_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSameKeyThroughThreeRouters guards against a booking that runs twice, or whose callers get different answers,
// because the same key comes through several routers at the same time.
func TestSameKeyThroughThreeRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addService("s1")
	f.addService("s2")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	const count = 50
	keys := newKeys(t, count)
	outcomes := f.bookAll(keys, f.routers, time.Time{})()
	answered := make(map[string]bool)
	for _, each := range outcomes {
		refusal := each.refused(t)
		if refusal == nil {
			answered[each.key] = true
			continue
		}
		qt.Check(t, refusal.Code, qt.Equals, "key_busy")
		qt.Check(t, refusal.Ran, qt.Equals, "unknown")
	}
	qt.Check(t, answered, qt.HasLen, count)
	f.checkCounts(outcomes)
	again := f.bookAll(keys, f.routers, time.Time{})()
	for _, each := range again {
		qt.Check(t, each.err, qt.IsNil)
		qt.Check(t, each.result.Replayed, qt.IsTrue)
	}
	f.checkCounts(append(outcomes, again...))
	qt.Check(t, f.counts(), qt.HasLen, count)
}
