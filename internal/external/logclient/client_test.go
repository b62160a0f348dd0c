package logclient_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/logserver"
	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/logclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// runWithLog runs a test in virtual time with a client of handler, which stands for the log service.
func runWithLog(t *testing.T, handler http.Handler, test func(c *qt.C, client *logclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		defer network.Serve("log:1", handler)()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		test(qt.New(t), logclient.New("log:1", client))
	})
}

// endOffset returns the end offset of the test stream without waiting for an append.
func endOffset(c *qt.C, client *logclient.Client) uint64 {
	page, err := client.Read(c.Context(), "s", 0, time.Now())
	c.Assert(err, qt.IsNil)
	return page.EndOffset
}

// TestAppendRateLimit guards against an emulated log that accepts more appends than its rate limit, and against a refused
// append that takes effect.
func TestAppendRateLimit(t *testing.T) {
	runWithLog(t, logserver.New(logserver.WithAppendRate(500)), func(c *qt.C, client *logclient.Client) {
		const attempts, seconds = 2000, 2
		accepted := 0
		for range attempts {
			_, err := client.Append(c.Context(), "s", []byte("x"))
			var rejected *external.RejectedError
			if errors.As(err, &rejected) {
				c.Assert(rejected.Status, qt.Equals, http.StatusTooManyRequests)
			} else {
				c.Assert(err, qt.IsNil)
				accepted++
			}
			time.Sleep(seconds * time.Second / attempts)
		}
		c.Assert(accepted >= 500*seconds, qt.IsTrue)
		c.Assert(accepted <= 500*seconds+50, qt.IsTrue)
		c.Assert(endOffset(c, client), qt.Equals, uint64(accepted))
	})
}

// TestRetention guards against records that never expire, and against offsets that change when older records expire.
func TestRetention(t *testing.T) {
	runWithLog(t, logserver.New(logserver.WithRetention(time.Hour)), func(c *qt.C, client *logclient.Client) {
		for _, data := range []string{"a", "b"} {
			_, err := client.Append(c.Context(), "s", []byte(data))
			c.Assert(err, qt.IsNil)
			time.Sleep(40 * time.Minute)
		}
		page, err := client.Read(c.Context(), "s", 0, time.Now())
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 1)
		c.Assert(string(page.Records[0].Data), qt.Equals, "b")
		c.Assert([]uint64{page.Records[0].Offset, page.FirstOffset, page.EndOffset}, qt.DeepEquals, []uint64{1, 1, 2})
		time.Sleep(time.Hour)
		page, err = client.Read(c.Context(), "s", 0, time.Now())
		c.Assert(err, qt.IsNil)
		c.Assert(page, qt.DeepEquals, external.Page{FirstOffset: 2, EndOffset: 2})
	})
}

// TestAppendOutcomes guards against an append that counts as failed or as done although its response was lost, and against
// one whose outcome counts as unknown although the service refused it.
func TestAppendOutcomes(t *testing.T) {
	for _, test := range []struct {
		name      string
		fault     fault.Fault
		unsettled bool
		records   uint64
	}{
		{"lost", fault.Fault{DropResponseEvery: 1}, true, 1},
		{"cut", fault.Fault{DropConnections: true}, true, 0},
		{"late", fault.Fault{DelayMS: 5000}, true, 1},
		{"down", fault.Fault{Down: true}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := logserver.New()
			runWithLog(t, server, func(c *qt.C, client *logclient.Client) {
				server.Faults.Set(test.fault)
				ctx, cancel := context.WithTimeout(c.Context(), time.Second)
				defer cancel()
				_, err := client.Append(ctx, "s", []byte("x"))
				var unsettled *external.UnsettledError
				var rejected *external.RejectedError
				c.Assert(errors.As(err, &unsettled), qt.Equals, test.unsettled)
				c.Assert(errors.As(err, &rejected), qt.Equals, !test.unsettled)
				time.Sleep(time.Minute)
				server.Faults.Set(fault.Fault{})
				c.Assert(endOffset(c, client), qt.Equals, test.records)
			})
		})
	}
}

// TestReadWaits guards against a read that misses an append while it waits, that returns before its deadline without a
// record, or that waits at an offset beyond the end of the log, which the caller may have from another log.
func TestReadWaits(t *testing.T) {
	runWithLog(t, logserver.New(), func(c *qt.C, client *logclient.Client) {
		start := time.Now()
		page, err := client.Read(c.Context(), "s", 0, start.Add(10*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 0)
		c.Assert(time.Since(start), qt.Equals, 10*time.Second)
		time.AfterFunc(3*time.Second, func() { _, _ = client.Append(c.Context(), "s", []byte("x")) })
		page, err = client.Read(c.Context(), "s", 0, time.Now().Add(10*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 1)
		c.Assert(time.Since(start), qt.Equals, 13*time.Second)
		page, err = client.Read(c.Context(), "s", 7, time.Now().Add(10*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(page.EndOffset, qt.Equals, uint64(1))
		c.Assert(time.Since(start), qt.Equals, 13*time.Second)
	})
}

// TestReadTimeout guards against a read that hangs because the log service does not respond.
func TestReadTimeout(t *testing.T) {
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	runWithLog(t, hang, func(c *qt.C, client *logclient.Client) {
		start := time.Now()
		_, err := client.Read(c.Context(), "s", 0, start.Add(10*time.Second))
		var unavailable *external.UnavailableError
		c.Assert(errors.As(err, &unavailable), qt.IsTrue)
		c.Assert(time.Since(start) <= 15*time.Second, qt.IsTrue)
	})
}
