package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/metric"
)

const (
	// callerConnFraction is the fraction of the file descriptors that callers' connections may use. The rest is for
	// connections to targets and to the store.
	callerConnFraction = 0.75
	// keptConnFraction is the fraction of the file descriptors up to which connections of callers are kept after an answer.
	keptConnFraction = 0.6
	// minExcessIdle is how long a connection may be idle at least while too many connections are open: one that was just used is the most
	// likely to be used again.
	minExcessIdle = time.Second
)

// callerConns tracks the open connections of callers and closes those that are idle for too long. It is safe for
// concurrent use.
type callerConns struct {
	// maxKept is the number of open connections above which connections end with their answers, maxOpen the number above which idle ones are ended.
	maxKept, maxOpen int

	mu   sync.Mutex
	open map[*callerConn]connState
	// freedAt is the time at which freeDescriptors last ended connections.
	freedAt time.Time
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
	return &callerConns{
		maxKept: int(float64(maxOpenFiles) * keptConnFraction),
		maxOpen: int(float64(maxOpenFiles) * callerConnFraction),
		open:    make(map[*callerConn]connState),
	}
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

// isCrowded reports whether so many connections are open that each is to end with its next answer. Its caller knows then, other than if it is
// ended while it is idle.
func (c *callerConns) isCrowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.maxKept
}

// closeIdle ends the connections that have been idle for longer than was announced to their callers, and keepAliveGrace. While more than maxOpen
// connections are open, it ends as many of the others. The state tells only how long the goroutine of a connection has seen no request; a connection
// on which one has arrived is not ended.
func (c *callerConns) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		if current.state == http.StateIdle && now.After(current.keptUntil) {
			conn.endIfIdle(now, metric.IdleExpired)
		}
	}
	c.endLongestIdle(now, len(c.open)-c.maxOpen, minExcessIdle, metric.IdleExcess)
}

// freeDescriptors ends idle connections after one could not be accepted for lack of a descriptor: as many as may wait to be accepted. Calls within
// endRepeatInterval of the last one have no effect, since connections that were told to end may need so long.
func (c *callerConns) freeDescriptors(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.freedAt) < endRepeatInterval {
		return
	}
	c.freedAt = now
	c.endLongestIdle(now, maxWaitingConns, 0, metric.IdleNoDescriptor)
}

// endLongestIdle ends up to count connections of those that have been idle for longer than minIdle, the longest idle ones first. It does nothing if
// count is not positive. The caller holds mu.
func (c *callerConns) endLongestIdle(now time.Time, count int, minIdle time.Duration, reason metric.IdleCloseReason) {
	if count <= 0 {
		return
	}
	type idleConn struct {
		conn  *callerConn
		since time.Time
	}
	var idle []idleConn
	for conn, current := range c.open {
		if current.state == http.StateIdle && now.Sub(current.since) > minIdle {
			idle = append(idle, idleConn{conn, current.since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, longest := range idle[:min(count, len(idle))] {
		longest.conn.endIfIdle(now, reason)
	}
}

// endUnused ends the connections that have had no request for longer than idleTimeout, among them those that never had one. It returns
// the number of open connections.
func (c *callerConns) endUnused(now time.Time, idleTimeout time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		if current.state != http.StateActive && now.Sub(current.since) > idleTimeout {
			conn.endIfIdle(now, metric.IdleDrained)
		}
	}
	return len(c.open)
}
