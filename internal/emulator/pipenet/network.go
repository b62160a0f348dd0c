package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Network connects dialers with listeners by address. The zero value is a network without listeners. It is safe for concurrent
// use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener for an address (host and port). It replaces an earlier listener for the same address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	return l
}

// Serve serves a handler at an address in the background until stop is called, which closes all connections.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	listener := n.Listen(address)
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}

// DialContext connects to the listener of an address. The error is syscall.ECONNREFUSED if there is no listener or it closes.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// remove removes a listener unless another one has replaced it.
func (n *Network) remove(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}
