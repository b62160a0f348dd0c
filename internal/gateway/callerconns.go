package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnFraction is the fraction of the file descriptors that callers' connections may use. The rest is for
// connections to targets and to the store.
const callerConnFraction = 0.75

// callerConns tracks the open connections of callers and closes those that are idle for too long. It is safe for
// concurrent use.
type callerConns struct {
	// maxOpen is the number of open connections above which idle ones are closed sooner.
	maxOpen int

	mu   sync.Mutex
	open map[*callerConn]connState
}

// connState is the state of a connection and the time at which it entered that state.
type connState struct {
	state http.ConnState
	since time.Time
}

// connCounts holds the number of connections without a request so far, with a request in progress, and idle between
// requests.
type connCounts struct {
	unused, active, idle int
}

// newCallerConns returns an empty set of connections, which may use a fraction of the file descriptors.
func newCallerConns(maxOpenFiles int) *callerConns {
	return &callerConns{maxOpen: int(float64(maxOpenFiles) * callerConnFraction), open: make(map[*callerConn]connState)}
}

// stateChanged records a new state of a connection. It is the ConnState hook of the HTTP server.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		caller.awaitRequest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.open[caller] = connState{state: state, since: time.Now()}
	case http.StateHijacked, http.StateClosed:
		delete(c.open, caller)
	}
}

// count returns the number of open connections by state.
func (c *callerConns) count() connCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts connCounts
	for _, current := range c.open {
		switch current.state {
		case http.StateNew:
			counts.unused++
		case http.StateActive:
			counts.active++
		default:
			counts.idle++
		}
	}
	return counts
}

// closeIdle ends the connections that have been idle for longer than idleTimeout. While more than maxOpen connections
// are open, idleTimeout is at most excessIdleTimeout. The state tells only how long the goroutine of a connection has seen no request;
// a connection on which one has arrived is not ended.
func (c *callerConns) closeIdle(now time.Time, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := len(c.open) - c.maxOpen
	if excess > 0 {
		idleTimeout = min(idleTimeout, excessIdleTimeout)
	}
	for conn, current := range c.open {
		if current.state == http.StateIdle && now.Sub(current.since) > idleTimeout {
			conn.endIfIdle(now)
		}
	}
}

// endUnused ends the connections that have had no request for longer than idleTimeout, among them those that never had one. It returns
// the number of open connections.
func (c *callerConns) endUnused(now time.Time, idleTimeout time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		if current.state != http.StateActive && now.Sub(current.since) > idleTimeout {
			conn.endIfIdle(now)
		}
	}
	return len(c.open)
}

// excessIdleTimeout is how long a connection may be idle while too many connections are open.
const excessIdleTimeout = time.Second
