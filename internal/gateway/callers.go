package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// descriptorPart is the part of the descriptors that connections of callers may use. The rest is for targets and the
// store.
const descriptorPart = 0.75

// callers are the open connections of callers. Idle ones are closed when they are too old or when there are too many.
type callers struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]callerState
}

// callerState is the state of one connection and the instant since which it has been in it.
type callerState struct {
	state http.ConnState
	since time.Time
}

// callerCounts are numbers of connections: those on which no request has been read yet, those with a request, and idle
// ones.
type callerCounts struct {
	fresh, active, idle int
}

// newCallers returns an empty set that may hold a part of the descriptors.
func newCallers(descriptors int) *callers {
	return &callers{limit: int(float64(descriptors) * descriptorPart), open: make(map[net.Conn]callerState)}
}

// note takes over a change of a connection.
func (c *callers) note(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.open[connection] = callerState{state: state, since: time.Now()}
	case http.StateHijacked, http.StateClosed:
		delete(c.open, connection)
	}
}

// count returns the numbers of open connections.
func (c *callers) count() callerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts callerCounts
	for _, each := range c.open {
		switch each.state {
		case http.StateNew:
			counts.fresh++
		case http.StateActive:
			counts.active++
		default:
			counts.idle++
		}
	}
	return counts
}

// sweep closes the connections that have been idle for longer than a limit, and the oldest idle ones while there are too
// many.
func (c *callers) sweep(now time.Time, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := len(c.open) - c.limit
	if excess > 0 {
		idle = min(idle, crowdedIdle)
	}
	for connection, each := range c.open {
		if each.state == http.StateIdle && now.Sub(each.since) > idle {
			_ = connection.Close()
		}
	}
}

// crowdedIdle is how long a connection may be idle while there are too many.
const crowdedIdle = time.Second
