package e2e_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// TestBookingsDuringLogOutage guards against bookings that run twice, or are refused as not run although they ran, because the
// log service goes down before, during or after them. It also guards against a log outage that stops calls without a key.
func TestBookingsDuringLogOutage(t *testing.T) {
	t.Parallel()
	f := newBookingFleet(t)
	completedKeys := newIdempotencyKeys(t, 4)
	outcomes := f.bookAll(completedKeys, f.routers[:1], time.Time{})()
	for _, outcome := range outcomes {
		qt.Assert(t, outcome.err, qt.IsNil)
	}
	inFlightKeys := newIdempotencyKeys(t, 8)
	completedRuns := len(f.runCounts())
	waitInFlight := f.bookAll(inFlightKeys, f.routers[:1], time.Time{})
	eventually(t, "an in-flight booking has run", func() bool { return len(f.runCounts()) > completedRuns })
	injectFault(t, f.logService, fault.Fault{Down: true})
	f.checkUnkeyedCalls()
	outageKeys := newIdempotencyKeys(t, 4)
	deadline := time.Now().Add(3 * time.Second)
	allKeys := slices.Concat(completedKeys, inFlightKeys, outageKeys)
	outageOutcomes := f.bookAll(allKeys, f.routers, deadline)()
	f.checkUnkeyedCalls()
	outcomes = slices.Concat(outcomes, waitInFlight(), outageOutcomes)
	f.checkRefusedBookingsDidNotRun(outcomes)
	injectFault(t, f.logService, fault.Fault{})
	f.waitUntilBookingsSucceed()
	outcomes = slices.Concat(outcomes, f.bookAll(allKeys, f.routers, time.Time{})())
	f.checkRefusedBookingsDidNotRun(outcomes)
	f.checkKeysRanOnce(outcomes)
}

// TestBookingsWithLostAppendResponses guards against bookings that run twice or never because the log service stored a record
// but its response to the append was lost.
func TestBookingsWithLostAppendResponses(t *testing.T) {
	t.Parallel()
	f := newBookingFleet(t)
	injectFault(t, f.logService, fault.Fault{DropResponseEvery: 1})
	keys := newIdempotencyKeys(t, 12)
	outcomes := f.bookAll(keys, f.routers, time.Time{})()
	f.checkRefusedBookingsDidNotRun(outcomes)
	f.checkUnkeyedCalls()
	injectFault(t, f.logService, fault.Fault{})
	f.waitUntilBookingsSucceed()
	outcomes = slices.Concat(outcomes, f.bookAll(keys, f.routers, time.Time{})())
	f.checkRefusedBookingsDidNotRun(outcomes)
	f.checkKeysRanOnce(outcomes)
	answered := make(map[string]bool)
	for _, outcome := range outcomes {
		answered[outcome.key] = answered[outcome.key] || outcome.err == nil
	}
	for key, found := range answered {
		qt.Check(t, found, qt.IsTrue, qt.Commentf("key %s has no successful booking", key))
	}
}

// newBookingFleet starts three routers, an engine and two replicas of the service shop.
func newBookingFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "2ms")
	f.addReplica("s1", "--work", "100ms", "--slots", "2")
	f.addReplica("s2", "--work", "100ms", "--slots", "2")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	return f
}

// checkUnkeyedCalls checks that model calls and idempotent service calls, neither with a key, succeed through each router.
func (f *fleet) checkUnkeyedCalls() {
	f.t.Helper()
	for _, r := range f.routers {
		customerClient := r.client(customerBeta)
		qt.Check(f.t, startStream(f.t.Context(), customerClient, "quick", "name for "+r.name, 20).wait(f.t), qt.IsNil)
		result, err := customerClient.Invoke(f.t.Context(), "shop", "stock", client.InvokeRequest{
			Arguments: map[string]string{"item": "ink"},
		})
		qt.Check(f.t, err, qt.IsNil)
		qt.Check(f.t, result.Values["item"], qt.Equals, "ink")
	}
}

// waitUntilBookingsSucceed waits until a booking with a new key succeeds through each router.
func (f *fleet) waitUntilBookingsSucceed() {
	f.t.Helper()
	for _, r := range f.routers {
		customerClient := r.client(customerBeta)
		eventually(f.t, fmt.Sprintf("a booking succeeds through %s", r.name), func() bool {
			_, err := book(f.t.Context(), customerClient, newIdempotencyKey(f.t), time.Time{})
			return err == nil
		})
	}
}

// checkRefusedBookingsDidNotRun checks that bookings that were refused as not run did not run on any replica.
func (f *fleet) checkRefusedBookingsDidNotRun(outcomes []bookingOutcome) {
	f.t.Helper()
	counts := f.runCounts()
	for _, outcome := range outcomes {
		if refusal := outcome.refusal(f.t); refusal != nil && refusal.Ran != "unknown" {
			qt.Check(f.t, counts[outcome.key], qt.Equals, 0, qt.Commentf("%v", refusal))
		}
	}
}
