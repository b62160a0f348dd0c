package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// connContextKey is the context key of a caller's connection.
type connContextKey struct{}

// contextWithConn returns a context that holds a caller's connection. It is the ConnContext hook of the HTTP server.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// callerConnOf returns the caller's connection of a request, given the request's context, and nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(connContextKey{}).(*callerConn)
	return conn
}

// wasHandedOver reports whether another router has handed over the connection of a request, given the request's context.
func wasHandedOver(ctx context.Context) bool {
	conn := callerConnOf(ctx)
	return conn != nil && conn.handedOver
}

// requestSince returns the time from which the caller of a request may have waited, given the request's context, and now if that is not
// known.
func requestSince(ctx context.Context, now time.Time) time.Time {
	conn := callerConnOf(ctx)
	if conn == nil {
		return now
	}
	return earlier(conn.requestStart(), now)
}

// hasData reports whether data has arrived on a connection that was not read yet.
func hasData(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// callerDisconnected reports whether the caller has closed the connection of a request, given the request's context. The
// HTTP server detects this too, but later: an overloaded host reads requests whose callers have already left, and would
// send them to targets before the server cancels them.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	return isDisconnected(conn)
}

// isDisconnected reports whether the other end has closed a connection and no data is left to read.
func isDisconnected(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = recvErr == nil && n == 0 || recvErr == syscall.ECONNRESET
	})
	return err != nil || disconnected
}

// resetOnClose makes the connection of a request end with a reset when it is closed, given the request's context. If this fails, it
// ends without one.
func resetOnClose(ctx context.Context) {
	if conn, ok := ctx.Value(connContextKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
}
