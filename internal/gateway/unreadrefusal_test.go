package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// awaitReceived waits until a number of bytes has arrived on a connection.
func awaitReceived(t *testing.T, conn *net.TCPConn, count int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	for deadline := time.Now().Add(handoverTimeout); ; time.Sleep(time.Millisecond) {
		arrived := 0
		qt.Assert(t, raw.Control(func(fd uintptr) { arrived, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }), qt.IsNil)
		qt.Assert(t, err, qt.IsNil)
		if arrived >= count {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}

// TestUnreadRefusalReachesCaller guards against a refusal that is lost because the connection is reset while bytes of the request are unread,
// and against callers who are not told to come back, or all at the same moment.
func TestUnreadRefusalReachesCaller(t *testing.T) {
	request := "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
	delays := make(map[string]bool)
	for range 20 {
		caller, accepted := newPair(t)
		_, err := io.WriteString(caller, request)
		qt.Assert(t, err, qt.IsNil)
		awaitReceived(t, accepted, len(request))
		gateway.RefuseUnread(accepted, 50*time.Millisecond)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Close, qt.IsTrue)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, seconds > 0 && seconds <= 0.1, qt.IsTrue, qt.Commentf("%v", seconds))
		delays[response.Header.Get("Retry-After")] = true
	}
	qt.Check(t, len(delays) > 1, qt.IsTrue, qt.Commentf("%v", delays))
}

// TestConnectionWithoutRequestGetsNoRefusal guards against an answer on a connection on which no request waits.
func TestConnectionWithoutRequestGetsNoRefusal(t *testing.T) {
	caller, accepted := newPair(t)
	gateway.RefuseUnread(accepted, time.Second)
	qt.Assert(t, caller.CloseWrite(), qt.IsNil)
	received, err := io.ReadAll(caller)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, "")
}

// TestLateRouterRefusesNewConnections guards against connections that wait in a router which begins to handle them too late, although their
// callers would reach another one.
func TestLateRouterRefusesNewConnections(t *testing.T) {
	late := listen(t)
	instance := gateway.New(gateway.Settings{MaxOpenFiles: 1000}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listener := gateway.NewLateListener(instance, late, time.Second, false)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	refused, err := net.Dial("tcp", late.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refused.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	_, err = io.WriteString(refused, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	received, err := io.ReadAll(refused)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, strings.HasPrefix(string(received), "HTTP/1.1 503"), qt.IsTrue, qt.Commentf("%q", received))
	qt.Check(t, len(accepted), qt.Equals, 0)

	gateway.EndLateness(instance)
	served, err := net.Dial("tcp", late.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = served.Close() }()
	select {
	case conn := <-accepted:
		_ = conn.Close()
	case <-time.After(handoverTimeout):
		t.Fatal("a connection was not accepted after the backlog was empty")
	}
}

// TestLateRouterHandsOverSomeConnections guards against a late router that refuses all new connections although a peer has time for some.
func TestLateRouterHandsOverSomeConnections(t *testing.T) {
	const callers = 40
	late, peer := listen(t), listen(t)
	settings := gateway.Settings{MaxOpenFiles: 1000, ProcessorShare: 0.02}
	instance := gateway.New(settings, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listener := gateway.NewReservingListener(instance, late, time.Second, peer.Addr().String())
	go func() { _, _ = listener.Accept() }()
	go answerAll(peer, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	counts := make(map[int]int)
	for range callers {
		conn, err := net.Dial("tcp", late.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
		_, err = io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		counts[response.StatusCode]++
		_ = conn.Close()
	}
	qt.Check(t, counts[http.StatusOK] > 0, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, counts[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], qt.Equals, callers)
}

// answerAll sends an answer to the request on each connection of a listener until that is closed.
func answerAll(listener net.Listener, answer string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}()
	}
}

// TestHandedOverRequestIsNotDropped guards against a request that gets no answer because the router which has read it hands it over to a late
// one, which closes the connection before the request has arrived.
func TestHandedOverRequestIsNotDropped(t *testing.T) {
	late := listen(t)
	qt.Assert(t, late.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	instance := gateway.New(gateway.Settings{}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listener := gateway.NewLateListener(instance, late, time.Second, true)
	firstRouter, err := net.Dial("tcp", late.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = firstRouter.Close() }()
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, conn.Close(), qt.IsNil)
}

// TestEndingRouterRefusesAwaitedRequests guards against requests that get no byte at the end of a drain because they have arrived on connections of
// refused callers, which no one counts.
func TestEndingRouterRefusesAwaitedRequests(t *testing.T) {
	late := listen(t)
	instance := gateway.New(gateway.Settings{MaxOpenFiles: 1000}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listener := gateway.NewLateListener(instance, late, time.Second, false)
	go func() { _, _ = listener.Accept() }()
	callers := make([]net.Conn, 2)
	for i := range callers {
		conn, err := net.Dial("tcp", late.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
		callers[i] = conn
	}
	for gateway.EndUnusedConns(instance, false) < len(callers) {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(callers[0], "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	received, err := io.ReadAll(callers[0])
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, strings.HasPrefix(string(received), "HTTP/1.1 503"), qt.IsTrue, qt.Commentf("%q", received))
	_ = callers[0].Close()
	for gateway.EndUnusedConns(instance, true) > 0 {
		time.Sleep(time.Millisecond)
	}
	received, err = io.ReadAll(callers[1])
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, "")
}

// TestHandedOverRequestIsReadAfterDeadline guards against a request that is refused as malformed, because the process reads what another router has
// sent before it after the read deadline, at which a draining router ends unused connections.
func TestHandedOverRequestIsReadAfterDeadline(t *testing.T) {
	late := listen(t)
	instance := gateway.New(gateway.Settings{}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listener := gateway.NewLateListener(instance, late, time.Second, true)
	firstRouter, err := net.Dial("tcp", late.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = firstRouter.Close() }()
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(firstRouter, "\x01\x00\x00\x00\x00\x01"+simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	gateway.AwaitData(conn)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	received := make([]byte, 2*len(simpleRequest))
	n, err := conn.Read(received)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(received[:n]), qt.Equals, simpleRequest)
}
