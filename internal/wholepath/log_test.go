package wholepath_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// TestLogDown guards against bookings that run twice, or are refused as not run although they ran, because the log
// service went down before, during or after them, and against a log outage that stops other calls.
func TestLogDown(t *testing.T) {
	t.Parallel()
	f := newLogFleet(t)
	after := newKeys(t, 4)
	outcomes := f.bookAll(after, f.routers[:1], time.Time{})()
	for _, each := range outcomes {
		qt.Assert(t, each.err, qt.IsNil)
	}
	during := newKeys(t, 8)
	before := len(f.counts())
	running := f.bookAll(during, f.routers[:1], time.Time{})
	eventually(t, "bookings have run", func() bool { return len(f.counts()) > before })
	inject(t, f.log, fault.Fault{Down: true})
	f.checkOtherCalls()
	late := newKeys(t, 4)
	deadline := time.Now().Add(3 * time.Second)
	all := slices.Concat(after, during, late)
	down := f.bookAll(all, f.routers, deadline)()
	f.checkOtherCalls()
	outcomes = slices.Concat(outcomes, running(), down)
	f.checkRefusals(outcomes)
	inject(t, f.log, fault.Fault{})
	f.checkBookingWorks()
	outcomes = slices.Concat(outcomes, f.bookAll(all, f.routers, time.Time{})())
	f.checkRefusals(outcomes)
	f.checkCounts(outcomes)
}

// TestLogAnswersLost guards against bookings that run twice or never because the log service took an append and its
// answer was lost.
func TestLogAnswersLost(t *testing.T) {
	t.Parallel()
	f := newLogFleet(t)
	inject(t, f.log, fault.Fault{DropResponseEvery: 1})
	keys := newKeys(t, 12)
	outcomes := f.bookAll(keys, f.routers, time.Time{})()
	f.checkRefusals(outcomes)
	f.checkOtherCalls()
	inject(t, f.log, fault.Fault{})
	f.checkBookingWorks()
	outcomes = slices.Concat(outcomes, f.bookAll(keys, f.routers, time.Time{})())
	f.checkRefusals(outcomes)
	f.checkCounts(outcomes)
	answered := make(map[string]bool)
	for _, each := range outcomes {
		answered[each.key] = answered[each.key] || each.err == nil
	}
	for key, found := range answered {
		qt.Check(t, found, qt.IsTrue, qt.Commentf("key %s has no answer", key))
	}
}

// newLogFleet starts three routers, an engine and two replicas.
func newLogFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "2ms")
	f.addService("s1", "--work", "100ms", "--slots", "2")
	f.addService("s2", "--work", "100ms", "--slots", "2")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	return f
}

// checkOtherCalls checks that model calls and look-ups work at each router.
func (f *fleet) checkOtherCalls() {
	f.t.Helper()
	for _, each := range f.routers {
		through := each.client(beta)
		qt.Check(f.t, generate(f.t.Context(), through, "quick", "name for "+each.name, 20).wait(f.t), qt.IsNil)
		result, err := through.Invoke(f.t.Context(), "shop", "stock", client.InvokeRequest{
			Arguments: map[string]string{"item": "ink"},
		})
		qt.Check(f.t, err, qt.IsNil)
		qt.Check(f.t, result.Values["item"], qt.Equals, "ink")
	}
}

// checkBookingWorks waits until a booking with a new key works at each router.
func (f *fleet) checkBookingWorks() {
	f.t.Helper()
	for _, each := range f.routers {
		through := each.client(beta)
		eventually(f.t, fmt.Sprintf("a booking works through %s", each.name), func() bool {
			_, err := book(f.t.Context(), through, newKey(f.t), time.Time{})
			return err == nil
		})
	}
}

// checkRefusals checks that the calls of keys that have run were not refused as not run.
func (f *fleet) checkRefusals(outcomes []booking) {
	f.t.Helper()
	counts := f.counts()
	for _, each := range outcomes {
		if refusal := each.refused(f.t); refusal != nil && refusal.Ran != "unknown" {
			qt.Check(f.t, counts[each.key], qt.Equals, 0, qt.Commentf("%v", refusal))
		}
	}
}
