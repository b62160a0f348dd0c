package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/metric"
)

// CallerDisconnected reports whether the caller at the other end of a connection has closed it.
func CallerDisconnected(ctx context.Context, conn net.Conn) bool {
	return callerDisconnected(contextWithConn(ctx, conn))
}

// BackdateAccept moves the accept time of a caller's connection into the past.
func BackdateAccept(conn net.Conn, by time.Duration) {
	if accepted, ok := conn.(*callerConn); ok {
		accepted.acceptedAt = accepted.acceptedAt.Add(-by)
	}
}

// CallerServer exports the HTTP server for callers with the set of their connections.
type CallerServer struct {
	*http.Server
	conns    *callerConns
	gateway  *Gateway
	listener net.Listener
	accepted *lastConn
}

// lastConn is a listener that remembers the connection that it accepted last.
type lastConn struct {
	net.Listener
	conn atomic.Value
}

// Accept accepts a connection.
func (l *lastConn) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conn.Store(conn)
	}
	return conn, err
}

// ServeCallers serves callers on a listener as a gateway does, but with another handler. hold is called before and after each change
// of a connection's state is recorded.
func ServeCallers(
	g *Gateway, tcpListener net.Listener, hold func(state http.ConnState, before bool), handler http.Handler,
) CallerServer {
	accepted := &lastConn{Listener: g.newAcceptor(tcpListener, false)}
	server := g.newServer(handler)
	server.ConnContext = contextWithConn
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		hold(state, true)
		g.callerConns.stateChanged(conn, state)
		hold(state, false)
	}
	go func() { _ = server.Serve(accepted) }()
	return CallerServer{Server: server, conns: g.callerConns, gateway: g, listener: tcpListener, accepted: accepted}
}

// Address returns the address of the server.
func (s CallerServer) Address() string { return s.listener.Addr().String() }

// Exported constants for tests of idle connections.
const (
	DefaultIdleTimeout = defaultIdleTimeout
	KeepAliveGrace     = keepAliveGrace
)

// MaxOpen returns the number of open connections above which idle ones are ended.
func MaxOpen(s CallerServer) int { return s.conns.maxOpen }

// CloseIdle closes idle connections as if it were called at the time now.
func (s CallerServer) CloseIdle(now time.Time) { s.conns.closeIdle(now) }

// FreeDescriptors ends idle connections as after one could not be accepted at the time now.
func (s CallerServer) FreeDescriptors(now time.Time) { s.conns.freeDescriptors(now) }

// Sweep closes watched connections as if it were called at the time now, and returns the number of those that are left.
func (s CallerServer) Sweep(now time.Time) int {
	s.gateway.closedConns.sweep(now)
	return len(s.gateway.closedConns.watched)
}

// Counters returns the counters of the gateway by name with labels.
func (s CallerServer) Counters() map[string]int64 { return s.gateway.metrics.CounterValues() }

// Ending reports whether the connection that was accepted last ends unless data has arrived.
func (s CallerServer) Ending() bool {
	conn, _ := s.accepted.conn.Load().(*callerConn)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return !conn.endingSince.IsZero()
}

// AwaitData waits until unread data has arrived on the connection that was accepted last.
func (s CallerServer) AwaitData() {
	conn, _ := s.accepted.conn.Load().(net.Conn)
	AwaitData(conn)
}

// AwaitData waits until unread data has arrived on a caller's connection.
func AwaitData(conn net.Conn) {
	if accepted, ok := conn.(*callerConn); ok {
		peekReceived(accepted.TCPConn, make([]byte, 1))
	}
}

// AcceptCaller accepts a caller's connection as a gateway does.
func AcceptCaller(g *Gateway, tcpListener net.Listener) (net.Conn, error) {
	return g.newAcceptor(tcpListener, false).Accept()
}

// pollSignal is a listener that signals each check for connections that wait to be accepted.
type pollSignal struct {
	*net.TCPListener
	polled chan struct{}
}

// SyscallConn signals a check.
func (l *pollSignal) SyscallConn() (syscall.RawConn, error) {
	select {
	case l.polled <- struct{}{}:
	default:
	}
	return l.TCPListener.SyscallConn()
}

// Close closes the listener and ends the signals.
func (l *pollSignal) Close() error {
	defer close(l.polled)
	return l.TCPListener.Close()
}

// CloseWhenEmpty closes a listener in the background as a gateway that ends does, and then the channel closed. It returns a channel
// that receives a value at each check whether connections wait.
func CloseWhenEmpty(ctx context.Context, g *Gateway, tcpListener net.Listener, closed chan<- struct{}) <-chan struct{} {
	signal := &pollSignal{TCPListener: tcpListener.(*net.TCPListener), polled: make(chan struct{})} //nolint:forcetypeassert // As passed.
	go func() {
		defer close(closed)
		g.newAcceptor(signal, false).closeWhenEmpty(ctx)
	}()
	return signal.polled
}

// RequestSince returns the time from which the caller of a request may have waited.
func RequestSince(r *http.Request) time.Time { return requestSince(r.Context(), time.Now()) }

// Handler returns the handler of callers' requests.
func Handler(g *Gateway) http.Handler { return http.HandlerFunc(g.serve) }

// AnswerOpenRequests ends the requests of a gateway as at the end of its process.
func AnswerOpenRequests(g *Gateway) { g.answerOpenRequests() }

// ServeKept serves the connections that a gateway keeps, with another handler.
func ServeKept(g *Gateway, handler http.Handler) *http.Server {
	server := g.newServer(handler)
	server.ConnContext = contextWithConn
	server.ConnState = g.callerConns.stateChanged
	go func() { _ = server.Serve(g.kept) }()
	return server
}

// EndIfIdle ends an accepted connection if nothing of a request has arrived.
func EndIfIdle(conn net.Conn) {
	if accepted, ok := conn.(*callerConn); ok {
		accepted.endIfIdle(time.Now(), metric.IdleExpired)
	}
}
