package gateway_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// handOverConfirmed hands a caller's connection over to a peer that confirms it, and returns its ends at the caller and at the peer.
func handOverConfirmed(t *testing.T, timeout time.Duration) (handovers gateway.Handovers, caller, atPeer *net.TCPConn) {
	t.Helper()
	peer := listen(t)
	handovers, _ = gateway.NewConfirmedHandovers("peer", peer.Addr().String(), timeout)
	caller, accepted := newPair(t)
	qt.Assert(t, handovers.TakeOfCrowd(accepted), qt.IsTrue)
	atPeer = accept(t, peer)
	readText(t, atPeer, "\x01")
	_, err := io.WriteString(atPeer, "\x01")
	qt.Assert(t, err, qt.IsNil)
	return handovers, caller, atPeer
}

// TestHandoverToFrozenPeerIsKept guards against a request that is lost in a peer which has just frozen: its kernel accepts the connection and
// acknowledges the request, but nobody reads it.
func TestHandoverToFrozenPeerIsKept(t *testing.T) {
	peer := listen(t)
	handovers, kept := gateway.NewConfirmedHandovers("peer", peer.Addr().String(), time.Minute)
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	takenAt := time.Now()
	qt.Assert(t, handovers.TakeOfCrowd(accepted), qt.IsTrue)
	readText(t, accept(t, kept), "request")
	qt.Check(t, time.Since(takenAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(takenAt)))
	received, _ := io.ReadAll(accept(t, peer)) // The peer wakes.
	qt.Check(t, string(received), qt.Equals, "\x01")
	_, other := newPair(t)
	qt.Check(t, handovers.TakeOfCrowd(other), qt.IsFalse) // Its last report has not expired yet.
}

// TestFewHandoversWaitForFrozenPeer guards against a crowd of callers that all wait for the same frozen peer.
func TestFewHandoversWaitForFrozenPeer(t *testing.T) {
	const callers, acceptable = 60, 32
	peer := listen(t)
	handovers, _ := gateway.NewConfirmedHandovers("peer", peer.Addr().String(), time.Minute)
	taken := 0
	for range callers {
		_, accepted := newPair(t)
		if handovers.TakeOfCrowd(accepted) {
			taken++
		}
	}
	qt.Check(t, taken > 0 && taken <= acceptable, qt.IsTrue, qt.Commentf("%d", taken))
}

// TestConfirmedHandoverIsTransparent guards against bytes of the confirmation in a request or an answer.
func TestConfirmedHandoverIsTransparent(t *testing.T) {
	handovers, caller, atPeer := handOverConfirmed(t, time.Minute)
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

// TestOverdueHandoverIsAnswered guards against a caller that gets nothing by its deadline because the peer froze after it had confirmed the
// connection, and against an answer in the middle of that of the peer.
func TestOverdueHandoverIsAnswered(t *testing.T) {
	for _, c := range []struct{ name, sent, received string }{
		{"no answer", "", "HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{"part of an answer", "HTTP/1.1 200", "HTTP/1.1 200"},
	} {
		t.Run(c.name, func(t *testing.T) {
			handovers, caller, atPeer := handOverConfirmed(t, 2*time.Second)
			_, err := io.WriteString(caller, "request")
			qt.Assert(t, err, qt.IsNil)
			readText(t, atPeer, "request")
			_, err = io.WriteString(atPeer, c.sent)
			qt.Assert(t, err, qt.IsNil)
			received := make([]byte, len(c.sent))
			_, err = io.ReadFull(caller, received)
			qt.Assert(t, err, qt.IsNil)
			handovers.EndOverdue(time.Now().Add(1900 * time.Millisecond))
			qt.Check(t, handovers.EndUnused(), qt.Equals, 1)
			handovers.EndOverdue(time.Now().Add(2500 * time.Millisecond))
			rest, err := io.ReadAll(caller)
			qt.Check(t, string(received)+string(rest), qt.Equals, c.received)
			// A part must not look complete.
			qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.Equals, c.sent != "", qt.Commentf("%v", err))
			awaitNoneOpen(t, handovers)
		})
	}
}

// TestLateRouterDoesNotWaitForConfirmations guards against a router without processor time that keeps callers because it sees confirmations late.
func TestLateRouterDoesNotWaitForConfirmations(t *testing.T) {
	peer := listen(t)
	handovers, _ := gateway.NewConfirmedHandovers("peer", peer.Addr().String(), time.Minute)
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, "request")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handovers.Take(accepted), qt.IsTrue)
	readText(t, accept(t, peer), "request")
}
