package forward

import (
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

// DialTimeout limits the time to open a connection, for tests.
const DialTimeout = dialTimeout

// MinRestartTime is the time that a target needs at least to start again, for tests.
const MinRestartTime = minRestartTime

// SetClock replaces the clock of a client that was not used yet.
func (c *Client) SetClock(now func() boottime.Instant) { c.now = now }

// DelayDials makes the client hold up the process for the delay in the middle of each dial, before the connection is requested.
func (c *Client) DelayDials(delay time.Duration) {
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		time.Sleep(delay)
		return nil
	}
}
