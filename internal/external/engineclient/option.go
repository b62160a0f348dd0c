package engineclient

import "time"

// Option configures a Client.
type Option func(*Client)

// WithIdleTimeout interrupts a stream if the engine sends nothing for this long while a token is awaited; the default is
// 5 s. Engines send an empty line each second if they have no token.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}
