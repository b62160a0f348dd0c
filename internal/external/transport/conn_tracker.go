package transport

import (
	"net/http/httptrace"
	"sync/atomic"
)

// connTracker records whether a request may have been written to a connection.
type connTracker struct {
	connected atomic.Bool
}

// clientTrace returns the hooks that set connected. Package net/http calls GetConn at the start of each of its attempts. It
// repeats a request that is not idempotent only if nothing of it was written, so GetConn resets connected.
func (t *connTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}
}
