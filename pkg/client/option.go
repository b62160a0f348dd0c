package client

import (
	"net/http"
	"time"
)

// Option configures a Client.
type Option func(*Client)

// WithMaxAttempts sets how many connections in a row may deliver nothing new before a call fails. A count below 1 means 1;
// the default is 8.
func WithMaxAttempts(count int) Option {
	return func(c *Client) { c.maxAttempts = max(1, count) }
}

// WithRetryDelay sets the delay after each failed round over all addresses, zero for none; the default is 100 ms. While a
// stream is resumed, the delay doubles with each round, up to 16 times its value.
func WithRetryDelay(delay time.Duration) Option {
	return func(c *Client) { c.retryDelay = delay }
}

// WithIdleTimeout sets how long a started stream may deliver no event before it is resumed at another router, zero for no
// limit; the default is 15 s.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithMaxLineBytes limits, in bytes, each line and the data of each event of a stream, the result of an invocation and the
// part of a refusal that is read. A limit below 1 means 1; the default is 1 MiB.
func WithMaxLineBytes(limit int) Option {
	return func(c *Client) { c.maxLineBytes = max(1, limit) }
}

// WithTransport replaces the HTTP transport, including the default dial timeout of 3 s and limit of idle connections.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.httpClient.Transport = transport }
}
