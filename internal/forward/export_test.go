package forward

import (
	"syscall"
	"time"
)

// DialTimeout limits the time to open a connection, for tests.
const DialTimeout = dialTimeout

// DelayDials makes the client hold up the process for the delay in the middle of each dial, before the connection is requested.
func (c *Client) DelayDials(delay time.Duration) {
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		time.Sleep(delay)
		return nil
	}
}
