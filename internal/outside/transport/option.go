package transport

import (
	"context"
	"net"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a client.
type Option func(*options)

// options are what the options set.
type options struct {
	dial DialFunc
}

// WithDial makes the client open its connections with dial.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}
