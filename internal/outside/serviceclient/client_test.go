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
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/serviceclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

const work = 100 * time.Millisecond

// run runs a test in virtual time with an emulated replica of one slot.
func run(t *testing.T, test func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		server := serviceserver.New(serviceserver.WithSlots(1), serviceserver.WithOperationDuration(work),
			serviceserver.WithFencing(), serviceserver.WithCrashWord("boom", nil), serviceserver.WithReportLag(0))
		defer network.Serve("service:1", server)()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		test(qt.New(t), server, serviceclient.New("service", "service:1", client))
	})
}

// book returns a booking of an item with the key "k".
func book(item string) outside.InvokeRequest {
	return outside.InvokeRequest{Operation: "book", IdempotencyKey: "k", Arguments: map[string]string{"item": item}}
}

// Guards against a booking that is sent twice, counts as not run although it may have run, or counts as possibly run
// although it was refused.
func TestBook(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  fault.Fault
		call   outside.InvokeRequest
		status int
		counts map[string]int
	}{
		{"whole", fault.Fault{}, book("ink"), 0, map[string]int{"k": 1}},
		{"lost", fault.Fault{DropResponseEvery: 1}, book("ink"), -1, map[string]int{"k": 1}},
		{"cut", fault.Fault{DropConnections: true}, book("ink"), -1, map[string]int{}},
		{"late", fault.Fault{DelayMS: 5000}, book("ink"), -1, map[string]int{"k": 1}},
		{"crash", fault.Fault{}, book("boom"), -1, map[string]int{"k": 1}},
		{"down", fault.Fault{Down: true}, book("ink"), http.StatusServiceUnavailable, map[string]int{}},
		{"unknown", fault.Fault{}, outside.InvokeRequest{Operation: "sell"}, http.StatusNotFound, map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
				// The first call leaves a connection to be used again.
				stock, err := client.Invoke(c.Context(), outside.InvokeRequest{
					Operation: "stock", Arguments: map[string]string{"item": "ink"},
				})
				c.Assert(err, qt.IsNil)
				c.Assert(stock, qt.DeepEquals, serviceserver.StockResult("ink"))
				server.Faults.Set(test.fault)
				ctx, cancel := context.WithTimeout(c.Context(), time.Second)
				defer cancel()
				result, err := client.Invoke(ctx, test.call)
				var crashed *outside.CrashedError
				var rejected *outside.RejectedError
				c.Assert(errors.As(err, &crashed), qt.Equals, test.status < 0, qt.Commentf("%v", err))
				c.Assert(errors.As(err, &rejected), qt.Equals, test.status > 0, qt.Commentf("%v", err))
				if test.status > 0 {
					c.Assert(rejected.Status, qt.Equals, test.status)
				}
				if test.status == 0 {
					c.Assert(result, qt.DeepEquals, map[string]string{"booking": "1", "item": "ink"})
				}
				time.Sleep(time.Minute)
				c.Assert(server.Bookings().CountByKey, qt.DeepEquals, test.counts)
			})
		})
	}
}

// Guards against a replica that accepts an old fence, and against one that checks keys, which would hide double
// bookings from tests.
func TestFencing(t *testing.T) {
	run(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
		for _, test := range []struct {
			fence    uint64
			rejected bool
		}{{5, false}, {4, true}, {5, false}, {6, false}} {
			call := book("ink")
			call.FencingToken = test.fence
			_, err := client.Invoke(c.Context(), call)
			var rejected *outside.RejectedError
			c.Assert(errors.As(err, &rejected), qt.Equals, test.rejected)
		}
		c.Assert(server.Bookings().CountByKey, qt.DeepEquals, map[string]int{"k": 3})
	})
}

// Guards against load reports that do not show running, waiting and leaving, and against a replica that runs more than
// its slots.
func TestLoad(t *testing.T) {
	run(t, func(c *qt.C, server *serviceserver.Server, client *serviceclient.Client) {
		for range 3 {
			go func() { _, _ = client.Invoke(c.Context(), book("ink")) }()
		}
		time.Sleep(work / 2)
		for _, want := range [][]int{{1, 2, 1}, {1, 1, 1}, {1, 0, 1}, {0, 0, 1}} {
			load, err := client.LoadReport(c.Context())
			c.Assert(err, qt.IsNil)
			c.Assert([]int{load.Running, load.Queued, load.Slots}, qt.DeepEquals, want)
			time.Sleep(work)
		}
		server.Leave()
		load, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(load.Leaving, qt.IsTrue)
	})
}
