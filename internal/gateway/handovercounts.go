package gateway

import (
	"sync/atomic"
	"time"
)

// handoverCounts counts new connections by what happened to them, since the counts were last logged. It is safe for concurrent use.
type handoverCounts struct {
	// accepted is the number of connections that callers opened, passed and takenOver are the numbers of those that this router handed over
	// and of those that peers handed over to it.
	accepted, passed, takenOver atomic.Int64
	// refused is the number of connections that were refused unread.
	refused atomic.Int64
	// The others are the numbers of connections that this router kept although it was late: because no peer had processor time, because too
	// many were open, because too many waited for the confirmation of the peer, and because the peer did not take them.
	keptWithoutPeer, keptAtLimit, keptUnconfirmed, keptAfterFailure atomic.Int64
	// answeredByPeer, answeredByRouter and brokenOff are the numbers of handed over requests that the peer has answered, that this router has
	// answered in its place, and whose answers the peer has broken off.
	answeredByPeer, answeredByRouter, brokenOff atomic.Int64
	// longestQueued is the longest time, in nanoseconds, that a request has waited in the kernel until its connection was accepted.
	longestQueued atomic.Int64
}

// recordQueued records how long a request has waited in the kernel until its connection was accepted.
func (c *handoverCounts) recordQueued(waited time.Duration) {
	for longest := c.longestQueued.Load(); int64(waited) > longest; longest = c.longestQueued.Load() {
		if c.longestQueued.CompareAndSwap(longest, int64(waited)) {
			return
		}
	}
}
