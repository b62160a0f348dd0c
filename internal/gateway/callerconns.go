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
	// keptUntil is the time from which an idle connection is ended.
	keptUntil time.Time
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
	current := connState{state: state, since: time.Now()}
	if state == http.StateIdle {
		caller.awaitRequest()
		current.keptUntil = current.since.Add(caller.announcedKeepAlive() + keepAliveGrace)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.open[caller] = current
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

// keepAliveGrace is how long an idle connection stays open beyond the announced time. A request that was sent within that time arrives before the
// end, though the answer and the request were on their way and the router may have been late.
const keepAliveGrace = 3 * time.Second

// announcedIdleTime returns the time to announce for connections that may be idle for idleTimeout: whole seconds, one at least.
func announcedIdleTime(idleTimeout time.Duration) time.Duration {
	return max(idleTimeout.Truncate(time.Second), time.Second)
}

// closeIdle ends the connections that have been idle for longer than was announced to their callers, and keepAliveGrace. While more than maxOpen
// connections are open, it ends those that have been idle for excessIdleTimeout. The state tells only how long the goroutine of a connection has seen
// no request; a connection on which one has arrived is not ended.
func (c *callerConns) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isExcess := len(c.open) > c.maxOpen
	for conn, current := range c.open {
		if current.state != http.StateIdle {
			continue
		}
		if now.After(current.keptUntil) || isExcess && now.Sub(current.since) > excessIdleTimeout {
			conn.endIfIdle(now)
		}
	}
}

// closeAllIdle ends all idle connections.
func (c *callerConns) closeAllIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		if current.state == http.StateIdle {
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
