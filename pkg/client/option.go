package client

import (
	"net/http"
	"time"
)

// Option changes a client that New makes.
type Option func(*Client)

// WithMaxAttempts sets how many connections in a row may bring nothing new before a call fails; the default is 8.
func WithMaxAttempts(count int) Option {
	return func(c *Client) { c.attempts = max(1, count) }
}

// WithRetryDelay sets the pause after each round over all addresses, which grows while a stream is resumed; the default is
// 100 ms.
func WithRetryDelay(pause time.Duration) Option {
	return func(c *Client) { c.pause = pause }
}

// WithIdleTimeout sets how long a started stream may be silent before it is resumed at another router, zero for no limit;
// the default is 15 s.
func WithIdleTimeout(limit time.Duration) Option {
	return func(c *Client) { c.silence = limit }
}

// WithMaxLineBytes sets the longest accepted line of an answer in bytes; the default is 1 MiB.
func WithMaxLineBytes(limit int) Option {
	return func(c *Client) { c.line = max(1, limit) }
}

// WithTransport sets the transport of the connections.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}
