package engineclient

import "time"

// Option changes a client.
type Option func(*Client)

// WithIdleTimeout makes streams break off if the engine sends nothing for this long while a token is awaited. Engines send
// an empty line each second if they have no token.
func WithIdleTimeout(limit time.Duration) Option {
	return func(c *Client) { c.silence = limit }
}
