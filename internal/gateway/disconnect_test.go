package gateway_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestCallerDisconnected guards against sending a request to a target although its caller left before the router read it,
// and against dropping a request because the caller has sent further bytes.
func TestCallerDisconnected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	callerConn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	routerConn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = routerConn.Close() }()
	qt.Check(t, gateway.CallerDisconnected(t.Context(), routerConn), qt.IsFalse)
	_, err = io.WriteString(callerConn, "x")
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(routerConn, make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, gateway.CallerDisconnected(t.Context(), routerConn), qt.IsFalse)
	qt.Assert(t, callerConn.Close(), qt.IsNil)
	deadline := time.Now().Add(5 * time.Second)
	for !gateway.CallerDisconnected(t.Context(), routerConn) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}
