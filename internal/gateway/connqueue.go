package gateway

import (
	"net"
	"sync"
)

// connQueue is a listener for connections that another listener has accepted. It is safe for concurrent use.
type connQueue struct {
	wrap  func(acceptedConn) net.Conn
	conns chan acceptedConn

	closeOnce sync.Once
	closed    chan struct{}
}

// newConnQueue returns an empty queue. Accept returns connections as wrap returns them.
func newConnQueue(wrap func(acceptedConn) net.Conn) *connQueue {
	return &connQueue{wrap: wrap, conns: make(chan acceptedConn), closed: make(chan struct{})}
}

// put passes a connection to Accept. It reports false if the queue is closed, so that nobody serves the connection.
func (q *connQueue) put(accepted acceptedConn) bool {
	select {
	case q.conns <- accepted:
		return true
	case <-q.closed:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case next := <-q.conns:
		return q.wrap(next), nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail.
func (q *connQueue) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return nil
}

// Addr returns an empty address, because the queue has none of its own.
func (q *connQueue) Addr() net.Addr { return new(net.TCPAddr) }
