package gateway_test

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// handoverTimeout limits each step of a test.
const handoverTimeout = 10 * time.Second

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// accept returns the next connection of a listener, with a deadline.
func accept(t *testing.T, listener net.Listener) *net.TCPConn {
	t.Helper()
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	tcpConn, _ := conn.(*net.TCPConn)
	return tcpConn
}

// newPair returns both ends of a caller's connection: the caller's and the router's.
func newPair(t *testing.T) (caller, accepted *net.TCPConn) {
	t.Helper()
	listener := listen(t)
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	caller, _ = conn.(*net.TCPConn)
	return caller, accept(t, listener)
}

// handOver hands a caller's connection over and returns its ends at the caller and at the peer.
func handOver(t *testing.T) (handovers gateway.Handovers, caller, atPeer *net.TCPConn) {
	t.Helper()
	peer := listen(t)
	handovers, _ = gateway.NewHandovers("peer", peer.Addr().String(), false)
	caller, accepted := newPair(t)
	qt.Assert(t, handovers.Take(accepted), qt.IsTrue)
	return handovers, caller, accept(t, peer)
}

// readText reads as many bytes as the expected text has, and checks them.
func readText(t *testing.T, conn net.Conn, expected string) {
	t.Helper()
	received := make([]byte, len(expected))
	_, err := io.ReadFull(conn, received)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, expected)
}

// awaitNoneOpen waits until all handed over connections have ended.
func awaitNoneOpen(t *testing.T, handovers gateway.Handovers) {
	t.Helper()
	for deadline := time.Now().Add(handoverTimeout); handovers.EndUnused() > 0; {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}

// TestHandoverPassesBytesUnchanged guards against a request or a response that is changed or cut on its way through two routers.
func TestHandoverPassesBytesUnchanged(t *testing.T) {
	handovers, caller, atPeer := handOver(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	readText(t, atPeer, "request")
	_, err = io.WriteString(atPeer, "response")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, atPeer.Close(), qt.IsNil)
	received, err := io.ReadAll(caller)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, "response")
	awaitNoneOpen(t, handovers)
}

// TestHandoverTellsHowLongCallerWaited guards against a peer that counts the deadline of a request from the moment at which it reads it,
// although its caller has waited at a late router.
func TestHandoverTellsHowLongCallerWaited(t *testing.T) {
	peer := listen(t)
	handovers, _ := gateway.NewHandovers("peer", peer.Addr().String(), true)
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handovers.TakeAcceptedAt(accepted, time.Now().Add(-1500*time.Millisecond)), qt.IsTrue)
	atPeer := accept(t, peer)
	preamble := make([]byte, 5)
	_, err = io.ReadFull(atPeer, preamble)
	qt.Assert(t, err, qt.IsNil)
	waited := time.Duration(binary.BigEndian.Uint32(preamble[1:])) * time.Millisecond
	qt.Check(t, preamble[0], qt.Equals, byte(0))
	qt.Check(t, waited >= 1500*time.Millisecond && waited < 5*time.Second, qt.IsTrue, qt.Commentf("%v", waited))
	readText(t, atPeer, "request")
}

// TestHandoverResetIsPassedOn guards against a response that looks complete although the peer has broken it off.
func TestHandoverResetIsPassedOn(t *testing.T) {
	handovers, caller, atPeer := handOver(t)
	_, err := io.WriteString(atPeer, "part")
	qt.Assert(t, err, qt.IsNil)
	readText(t, caller, "part")
	qt.Assert(t, atPeer.SetLinger(0), qt.IsNil)
	qt.Assert(t, atPeer.Close(), qt.IsNil)
	_, err = io.ReadAll(caller)
	qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	awaitNoneOpen(t, handovers)
}

// TestHandoverCallerLeaves guards against a peer that goes on with a request whose caller has left.
func TestHandoverCallerLeaves(t *testing.T) {
	handovers, caller, atPeer := handOver(t)
	qt.Assert(t, caller.Close(), qt.IsNil)
	_, err := io.ReadAll(atPeer)
	qt.Check(t, err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	awaitNoneOpen(t, handovers)
}

// TestHandoverOfCallerThatLeftIsNotPassedOn guards against a request that reaches a target after its caller has left, because the router
// was too late to see that.
func TestHandoverOfCallerThatLeftIsNotPassedOn(t *testing.T) {
	peer := listen(t)
	handovers, _ := gateway.NewHandovers("peer", peer.Addr().String(), false)
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, caller.Close(), qt.IsNil)
	qt.Assert(t, handovers.Take(accepted), qt.IsTrue)
	received, _ := io.ReadAll(accept(t, peer))
	qt.Check(t, string(received), qt.Equals, "")
	awaitNoneOpen(t, handovers)
}

// TestHandoverOutlivesLink guards against an answer that is broken off because the link to the peer has ended, and against a caller that
// waits for an answer of a peer that is gone: the kernel probes the peer from then on.
func TestHandoverOutlivesLink(t *testing.T) {
	handovers, caller, atPeer := handOver(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	readText(t, atPeer, "request")
	handovers.LosePeer("peer", time.Second)
	qt.Check(t, handovers.Probed(), qt.Equals, 0)
	handovers.LosePeer("peer", time.Minute)
	qt.Check(t, handovers.Probed(), qt.Equals, 1)
	_, accepted := newPair(t)
	qt.Check(t, handovers.Take(accepted), qt.IsFalse)
	_, err = io.WriteString(atPeer, "response")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, atPeer.Close(), qt.IsNil)
	received, err := io.ReadAll(caller)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, "response")
	awaitNoneOpen(t, handovers)
}

// TestHandoverAtShutdown guards against a shutdown that waits for callers without a request, breaks off an answer, or begins further
// handovers.
func TestHandoverAtShutdown(t *testing.T) {
	handovers, caller, atPeer := handOver(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	readText(t, atPeer, "request")
	unused, accepted := newPair(t)
	qt.Assert(t, handovers.Take(accepted), qt.IsTrue)
	handovers.Stop()
	_, late := newPair(t)
	qt.Check(t, handovers.Take(late), qt.IsFalse)
	for handovers.EndUnused() > 1 {
		time.Sleep(time.Millisecond)
	}
	_, err = unused.Read(make([]byte, 1))
	qt.Check(t, err, qt.Not(qt.IsNil))
	_, err = io.WriteString(atPeer, "response")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, atPeer.Close(), qt.IsNil)
	readText(t, caller, "response")
	awaitNoneOpen(t, handovers)
}

// TestHandoverToClosedPortIsKept guards against a caller that is lost, or handed to the same peer again, because the peer has just ended.
func TestHandoverToClosedPortIsKept(t *testing.T) {
	closed := listen(t)
	qt.Assert(t, closed.Close(), qt.IsNil)
	handovers, kept := gateway.NewHandovers("peer", closed.Addr().String(), false)
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handovers.Take(accepted), qt.IsTrue)
	readText(t, accept(t, kept), "request")
	_, other := newPair(t)
	qt.Check(t, handovers.Take(other), qt.IsFalse)
}

// TestRequestIsNotHandedOverToOlderConfiguration guards against a router whose callers find that it goes back to an older configuration, because it
// hands their requests over to a peer that has not read the newest one, as when that is cut off from the store.
func TestRequestIsNotHandedOverToOlderConfiguration(t *testing.T) {
	peer := listen(t)
	handovers, _ := gateway.NewHandovers("peer", peer.Addr().String(), false)
	reporter := gateway.NewReporter(handovers, "peer", peer.Addr().String())
	now := time.Now()
	for _, c := range []struct {
		own, reported       uint64
		isReported, isTaken bool
	}{{3, 2, true, false}, {3, 3, true, true}, {4, 3, false, false}, {4, 5, true, true}} {
		handovers.SetConfigVersion(c.own)
		now = now.Add(10 * time.Millisecond)
		qt.Check(t, reporter.Report(now, c.reported), qt.Equals, c.isReported, qt.Commentf("%+v", c))
		_, accepted := newPair(t)
		qt.Check(t, handovers.Take(accepted), qt.Equals, c.isTaken, qt.Commentf("%+v", c))
	}
}
