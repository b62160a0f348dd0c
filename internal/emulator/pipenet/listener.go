package pipenet

import (
	"net"
	"sync"
)

// listener implements net.Listener.
type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection. The error is net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Accepted connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.remove(l)
		close(l.closed)
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return address(l.address) }
