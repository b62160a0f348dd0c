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
