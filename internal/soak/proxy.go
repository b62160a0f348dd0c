package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// chunkBytes is the size of the buffer through which a proxy copies, chunkDelay the time by which a delaying one holds each chunk.
const (
	chunkBytes = 4 << 10
	chunkDelay = 20 * time.Millisecond
)

// proxy passes the connections of callers to a router. It is safe for concurrent use.
type proxy struct {
	listener net.Listener

	mu sync.Mutex
	// upstream is the address of the router, empty while there is none.
	upstream string
	// fault is the kind of the present fault of connections, empty if there is none. ended is closed when it ends.
	fault Kind
	ended chan struct{}
	conns map[*net.TCPConn]struct{}
}

// newProxy opens a proxy on an unused port.
func newProxy(ctx context.Context) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, conns: make(map[*net.TCPConn]struct{})}
	go p.serve()
	return p, nil
}

// address returns the address for callers.
func (p *proxy) address() string { return p.listener.Addr().String() }

// serve passes on connections until the proxy is closed.
func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.passOn(conn.(*net.TCPConn)) //nolint:forcetypeassert // The listener is a TCP listener.
	}
}

// passOn connects a caller with the router until one of them closes the connection.
func (p *proxy) passOn(caller *net.TCPConn) {
	defer p.closeConn(caller)
	p.mu.Lock()
	upstream := p.upstream
	p.mu.Unlock()
	dialled, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	router := dialled.(*net.TCPConn) //nolint:forcetypeassert // It was dialled with TCP.
	defer p.closeConn(router)
	p.mu.Lock()
	p.conns[caller], p.conns[router] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go func() {
		p.copy(router, caller, BlockCalls)
		_ = router.CloseWrite() // The router may still answer what it has got.
	}()
	p.copy(caller, router, BlockAnswers)
}

// copy copies chunks until the source ends. The given kind of fault blocks it.
func (p *proxy) copy(to, from *net.TCPConn, blockedBy Kind) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		p.hold(blockedBy)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as the present fault requires.
func (p *proxy) hold(blockedBy Kind) {
	p.mu.Lock()
	fault, ended := p.fault, p.ended
	p.mu.Unlock()
	if fault == Delay {
		time.Sleep(chunkDelay)
	}
	if fault == blockedBy {
		<-ended
	}
}

// closeConn closes a connection.
func (p *proxy) closeConn(conn *net.TCPConn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // The other end may have closed it.
}

// setUpstream sets the address of the router for connections that are opened from now on.
func (p *proxy) setUpstream(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = address
}

// begin begins a fault of connections.
func (p *proxy) begin(fault Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault != Reset {
		p.fault, p.ended = fault, make(chan struct{})
		return
	}
	for conn := range p.conns {
		_ = conn.SetLinger(0) // Resets the connection when it is closed.
		_ = conn.Close()
	}
}

// end ends the present fault.
func (p *proxy) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != "" {
		close(p.ended)
		p.fault = ""
	}
}

// close ends the proxy with its connections.
func (p *proxy) close() {
	_ = p.listener.Close() // Nothing is left to do if it fails.
	p.end()
	p.begin(Reset)
}
