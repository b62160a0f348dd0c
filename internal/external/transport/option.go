package transport

import (
	"context"
	"net"
)

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*options)

// options holds the values set by Option functions.
type options struct {
	dial DialFunc
}

// WithDial sets the function that opens connections; the default is the DialContext method of a net.Dialer.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}
