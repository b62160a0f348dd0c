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

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.remove(l)
		close(l.closed)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }
