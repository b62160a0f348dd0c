package gateway_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// queueTime is the time for which requests wait in the queue of the kernel.
const queueTime = 300 * time.Millisecond

// dialAndWait opens a connection with a request and lets it wait in the queue of the kernel.
func dialAndWait(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	qt.Assert(t, caller.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	_, err = io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(queueTime)
	return caller
}

// TestTimeInKernelQueueCounts guards against a target that works on after the caller has left, because the deadline of a request that waits to be
// accepted begins anew when its router accepts it.
func TestTimeInKernelQueueCounts(t *testing.T) {
	listener := listen(t)
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	caller := dialAndWait(t, listener)
	waited := make(chan time.Duration, 1)
	server := gateway.ServeCallers(gw, listener, func(http.ConnState, bool) {}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- time.Since(gateway.RequestSince(r))
	}))
	defer func() { _ = server.Close() }()
	_, err := http.ReadResponse(bufio.NewReader(caller), nil)
	qt.Assert(t, err, qt.IsNil)
	got := <-waited
	qt.Check(t, got >= queueTime*9/10 && got < handoverTimeout, qt.IsTrue, qt.Commentf("%v", got))
}

// TestHandoverTellsTimeInKernelQueue guards against the same at a peer to which the connection is handed over.
func TestHandoverTellsTimeInKernelQueue(t *testing.T) {
	listener, peer := listen(t), listen(t)
	handovers, _ := gateway.NewHandovers("peer", peer.Addr().String(), true)
	dialAndWait(t, listener)
	qt.Assert(t, handovers.Take(accept(t, listener)), qt.IsTrue)
	preamble := make([]byte, 5)
	_, err := io.ReadFull(accept(t, peer), preamble)
	qt.Assert(t, err, qt.IsNil)
	got := time.Duration(binary.BigEndian.Uint32(preamble[1:])) * time.Millisecond
	qt.Check(t, got >= queueTime*9/10 && got < handoverTimeout, qt.IsTrue, qt.Commentf("%v", got))
}

// TestTimeUntilLateReadCounts guards against the same if the request arrives after the accept: a late process reads it as late as its other data.
func TestTimeUntilLateReadCounts(t *testing.T) {
	listener := listen(t)
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	gateway.SetLateness(gw, queueTime)
	caller, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	qt.Assert(t, caller.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	waited := make(chan time.Duration, 1)
	server := gateway.ServeCallers(gw, listener, func(http.ConnState, bool) {}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- time.Since(gateway.RequestSince(r))
	}))
	defer func() { _ = server.Close() }()
	time.Sleep(2 * queueTime)
	_, err = io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	got := <-waited
	qt.Check(t, got >= queueTime && got < 2*queueTime, qt.IsTrue, qt.Commentf("%v", got))
}

// TestWaitIsNotCountedTwice guards against requests that are refused as expired, or end before their deadlines, although their callers are there: the
// router was held up after it had accepted the connection, and takes the request for as much older than the connection as it is late.
func TestWaitIsNotCountedTwice(t *testing.T) {
	for name, sentBeforeRead := range map[string]bool{"sent before the first read": true, "sent after it": false} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
			accepted, release, since := make(chan struct{}), make(chan struct{}), make(chan time.Time, 1)
			hold := func(state http.ConnState, before bool) {
				if state == http.StateNew && before {
					close(accepted)
					<-release
				}
			}
			server := gateway.ServeCallers(gw, listener, hold, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				since <- gateway.RequestSince(r)
			}))
			defer func() { _ = server.Close() }()
			openedAt := time.Now()
			caller, err := net.Dial("tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = caller.Close() }()
			<-accepted
			if !sentBeforeRead {
				time.Sleep(queueTime)
				openedAt = time.Now()
				gateway.SetLateness(gw, handoverTimeout)
				close(release)
				time.Sleep(queueTime)
			}
			_, err = io.WriteString(caller, simpleRequest)
			qt.Assert(t, err, qt.IsNil)
			if sentBeforeRead {
				gateway.SetLateness(gw, handoverTimeout)
				close(release)
			}
			got := <-since
			qt.Check(t, openedAt.Sub(got) < queueTime/2, qt.IsTrue, qt.Commentf("%v", openedAt.Sub(got)))
		})
	}
}

// TestHandoverTellsWaitOnce guards against the same at a router that hands the connection over and is held up meanwhile.
func TestHandoverTellsWaitOnce(t *testing.T) {
	peer := listen(t)
	handovers := gateway.NewTellingHandovers("peer", peer.Addr().String())
	openedAt := time.Now()
	caller, accepted := newPair(t)
	_, err := io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handovers.TakeOfCrowd(accepted), qt.IsTrue)
	atPeer := accept(t, peer)
	readText(t, atPeer, "\x01")
	handovers.SetLateness(handoverTimeout)
	_, err = io.WriteString(atPeer, "\x01")
	qt.Assert(t, err, qt.IsNil)
	preamble := make([]byte, 5)
	_, err = io.ReadFull(atPeer, preamble)
	qt.Assert(t, err, qt.IsNil)
	got := time.Duration(binary.BigEndian.Uint32(preamble[1:])) * time.Millisecond
	qt.Check(t, got < time.Since(openedAt)+queueTime/2, qt.IsTrue, qt.Commentf("%v", got))
}
