package serviceclient_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/serviceclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// workDuration is the time that the replica takes per operation.
const workDuration = 100 * time.Millisecond

// runWithReplica runs a test in virtual time with an emulated replica of one slot.
func runWithReplica(t *testing.T, test func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		server := serviceserver.New(serviceserver.WithSlots(1), serviceserver.WithOperationDuration(workDuration),
			serviceserver.WithFencing(), serviceserver.WithCrashWord("boom", nil), serviceserver.WithReportLag(0))
		defer network.Serve("service:1", server)()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		test(qt.New(t), server, serviceclient.New("service", "service:1", client))
	})
}

// bookRequest returns an invocation that books an item with the idempotency key "k".
func bookRequest(item string) external.InvokeRequest {
	return external.InvokeRequest{Operation: "book", IdempotencyKey: "k", Arguments: map[string]string{"item": item}}
}

// TestInvoke guards against an invocation that is sent twice, counts as not run although it may have run, or counts as
// possibly run although it was refused.
func TestInvoke(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   fault.Fault
		request external.InvokeRequest
		// status is that of the expected rejection, 0 for success and -1 for a crash.
		status int
		// bookings is the number of bookings by idempotency key.
		bookings map[string]int
	}{
		{"success", fault.Fault{}, bookRequest("ink"), 0, map[string]int{"k": 1}},
		{"lost", fault.Fault{DropResponseEvery: 1}, bookRequest("ink"), -1, map[string]int{"k": 1}},
		{"cut", fault.Fault{DropConnections: true}, bookRequest("ink"), -1, map[string]int{}},
		{"late", fault.Fault{DelayMS: 5000}, bookRequest("ink"), -1, map[string]int{"k": 1}},
		{"crash", fault.Fault{}, bookRequest("boom"), -1, map[string]int{"k": 1}},
		{"down", fault.Fault{Down: true}, bookRequest("ink"), http.StatusServiceUnavailable, map[string]int{}},
		{"unknown", fault.Fault{}, external.InvokeRequest{Operation: "sell"}, http.StatusNotFound, map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithReplica(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
				// The first call leaves an idle connection for the second.
				stock, err := client.Invoke(c.Context(), external.InvokeRequest{
					Operation: "stock", Arguments: map[string]string{"item": "ink"},
				})
				c.Assert(err, qt.IsNil)
				c.Assert(stock, qt.DeepEquals, serviceserver.StockResult("ink"))
				server.Faults.Set(test.fault)
				ctx, cancel := context.WithTimeout(c.Context(), time.Second)
				defer cancel()
				result, err := client.Invoke(ctx, test.request)
				var crashed *external.CrashedError
				var rejected *external.RejectedError
				c.Assert(errors.As(err, &crashed), qt.Equals, test.status < 0, qt.Commentf("%v", err))
				c.Assert(errors.As(err, &rejected), qt.Equals, test.status > 0, qt.Commentf("%v", err))
				if test.status > 0 {
					c.Assert(rejected.Status, qt.Equals, test.status)
				}
				if test.status == 0 {
					c.Assert(result, qt.DeepEquals, map[string]string{"booking": "1", "item": "ink"})
				}
				time.Sleep(time.Minute)
				c.Assert(server.Bookings().CountByKey, qt.DeepEquals, test.bookings)
			})
		})
	}
}

// TestFencing guards against an emulated replica that accepts an old fencing token, and against one that checks idempotency
// keys, which would hide duplicate bookings from other tests.
func TestFencing(t *testing.T) {
	runWithReplica(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
		for _, test := range []struct {
			fencingToken uint64
			rejected     bool
		}{{5, false}, {4, true}, {5, false}, {6, false}} {
			request := bookRequest("ink")
			request.FencingToken = test.fencingToken
			_, err := client.Invoke(c.Context(), request)
			var rejected *external.RejectedError
			c.Assert(errors.As(err, &rejected), qt.Equals, test.rejected)
		}
		c.Assert(server.Bookings().CountByKey, qt.DeepEquals, map[string]int{"k": 3})
	})
}

// TestLoadReport guards against load reports with wrong running, queued or leaving values, and against an emulated replica
// that runs more requests at once than it has slots.
func TestLoadReport(t *testing.T) {
	runWithReplica(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
		for range 3 {
			go func() { _, _ = client.Invoke(c.Context(), bookRequest("ink")) }()
		}
		time.Sleep(workDuration / 2)
		for _, want := range [][]int{{1, 2, 1}, {1, 1, 1}, {1, 0, 1}, {0, 0, 1}} {
			load, err := client.LoadReport(c.Context())
			c.Assert(err, qt.IsNil)
			c.Assert([]int{load.Running, load.Queued, load.Slots}, qt.DeepEquals, want)
			time.Sleep(workDuration)
		}
		server.Leave()
		load, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(load.Leaving, qt.IsTrue)
	})
}
