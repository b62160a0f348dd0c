package e2e_test

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/pkg/client"
)

// TestGracefulShutdown guards against a router that, after SIGTERM, interrupts a stream, a waiting call or a booking, accepts
// new calls, or exits with an error.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms", "--slots", "2")
	f.addEngine("e2", "--interval", "5ms", "--slots", "2")
	f.addReplica("s1", "--work", "1s")
	f.addRouters("r1", "r2", "r3")
	f.publishInitialConfig()
	terminating := f.routers[0]
	customerClient := terminating.client(customerAlpha)
	streams := make([]*stream, 0, 10)
	for i := range 10 {
		streams = append(streams, startStream(t.Context(), customerClient, "long", fmt.Sprintf("brief %d", i), 300))
	}
	waitBookings := f.bookAll(newIdempotencyKeys(t, 2), f.routers[:1], time.Time{})
	eventually(t, "six calls wait and six calls run", func() bool {
		return terminating.waitingAndRunning(customerAlpha) == [2]int{6, 6}
	})
	terminating.signal(syscall.SIGTERM)
	const notReadyTimeout = 500 * time.Millisecond
	eventuallyWithin(t, notReadyTimeout, "the terminating router reports that it is not ready", func() bool {
		return requestJSON(http.MethodGet, terminating.operateAddress, "/ready", "", nil, nil) == http.StatusServiceUnavailable
	})
	var refusal *client.Refusal
	err := startStream(t.Context(), customerClient, "quick", "late", 10).wait(t)
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Code, qt.Equals, "shutting_down")
	qt.Check(t, refusal.Ran, qt.Equals, "no")
	qt.Check(t, refusal.RetryAt.IsZero(), qt.IsFalse)
	for _, s := range streams {
		qt.Check(t, s.wait(t), qt.IsNil)
		qt.Check(t, s.resumes, qt.Equals, 0)
	}
	for _, booking := range waitBookings() {
		qt.Check(t, booking.err, qt.IsNil)
	}
	qt.Check(t, terminating.waitExitCode(), qt.Equals, 0)
}

// waitingAndRunning returns the numbers of waiting and running calls of a customer at the router.
func (r *router) waitingAndRunning(customer string) [2]int {
	var customers []struct {
		Name             string
		Waiting, Running int
	}
	requestJSON(http.MethodGet, r.address, "/v1/customers", operatorKey, nil, &customers)
	for _, c := range customers {
		if c.Name == customer {
			return [2]int{c.Waiting, c.Running}
		}
	}
	return [2]int{}
}
