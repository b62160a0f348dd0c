package wholepath_test

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

// TestTermination guards against a shutdown that interrupts a stream, a waiting call or a booking, that takes new calls,
// or that ends with an error.
func TestTermination(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addEngine("e1", "--interval", "5ms", "--slots", "2")
	f.addEngine("e2", "--interval", "5ms", "--slots", "2")
	f.addService("s1", "--work", "1s")
	f.addRouters("r1", "r2", "r3")
	f.settle()
	leaving := f.routers[0]
	through := leaving.client(alpha)
	streams := make([]*stream, 0, 10)
	for i := range 10 {
		streams = append(streams, generate(t.Context(), through, "long", fmt.Sprintf("brief %d", i), 300))
	}
	booked := f.bookAll(newKeys(t, 2), f.routers[:1], time.Time{})
	eventually(t, "calls run and wait", func() bool { return leaving.open(alpha) == [2]int{6, 6} })
	leaving.signal(syscall.SIGTERM)
	const atOnce = 500 * time.Millisecond
	within(t, atOnce, "not ready", func() bool {
		return exchange(http.MethodGet, leaving.operate, "/ready", "", nil, nil) == http.StatusServiceUnavailable
	})
	var refusal *client.Refusal
	err := generate(t.Context(), through, "quick", "late", 10).wait(t)
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Code, qt.Equals, "shutting_down")
	qt.Check(t, refusal.Ran, qt.Equals, "no")
	qt.Check(t, refusal.RetryAt.IsZero(), qt.IsFalse)
	for _, each := range streams {
		qt.Check(t, each.wait(t), qt.IsNil)
		qt.Check(t, each.resumes, qt.Equals, 0)
	}
	for _, each := range booked() {
		qt.Check(t, each.err, qt.IsNil)
	}
	qt.Check(t, leaving.exit(), qt.Equals, 0)
}

// open returns the numbers of waiting and running calls of a customer at the router.
func (r *router) open(customer string) [2]int {
	var all []struct {
		Name             string
		Waiting, Running int
	}
	exchange(http.MethodGet, r.address, "/v1/customers", operatorKey, nil, &all)
	for _, each := range all {
		if each.Name == customer {
			return [2]int{each.Waiting, each.Running}
		}
	}
	return [2]int{}
}
