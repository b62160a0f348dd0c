package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// simpleRequest is a request without a body.
const simpleRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// heldServer is the HTTP server for callers. The goroutine of a connection waits in each change of state that is held.
type heldServer struct {
	gateway.CallerServer
	t       *testing.T
	log     strings.Builder
	reached chan struct{}
	release chan struct{}
	// idle receives a value whenever a connection has begun to count as idle.
	idle chan struct{}
}

// newHeldServer starts a server that answers each request with status 200. The nth change to the state is held, counted from 1.
func newHeldServer(t *testing.T, state http.ConnState, nth int) *heldServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &heldServer{t: t, reached: make(chan struct{}), release: make(chan struct{}), idle: make(chan struct{}, 1000)}
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.New(&s.log),
		func() uint64 { return 0 })
	seen := 0
	hold := func(changed http.ConnState, before bool) {
		if changed == http.StateIdle && !before {
			s.idle <- struct{}{}
		}
		// The goroutine waits before the connection counts as active, and after it counts as idle.
		if changed != state || before != (state == http.StateActive) {
			return
		}
		if seen++; seen == nth {
			close(s.reached)
			<-s.release
		}
	}
	s.CallerServer = gateway.ServeCallers(gw, listener, hold, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// dial opens a caller's connection.
func (s *heldServer) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(s.t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return conn, bufio.NewReader(conn)
}

// request sends a request and returns the status of the answer, or 0 if there is none.
func (s *heldServer) request(conn net.Conn, reader *bufio.Reader) int {
	s.t.Helper()
	_, err := io.WriteString(conn, simpleRequest)
	qt.Assert(s.t, err, qt.IsNil)
	return readStatus(reader)
}

// readStatus reads one answer and returns its status, or 0 if there is none.
func readStatus(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestIdleTimeoutOfReadRequest guards against a whole request that was read and gets no answer, because the goroutine that read it
// waits for the processor while idle connections are closed.
func TestIdleTimeoutOfReadRequest(t *testing.T) {
	s := newHeldServer(t, http.StateActive, 2)
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	_, err := io.WriteString(conn, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	<-s.reached
	s.CloseIdle(time.Now().Add(time.Hour))
	close(s.release)
	qt.Check(t, readStatus(reader), qt.Equals, http.StatusOK)
}

// TestIdleTimeoutOfWaitingRequest guards against a request that gets no answer, because the goroutine that has to read it waits for
// the processor while idle connections are closed.
func TestIdleTimeoutOfWaitingRequest(t *testing.T) {
	s := newHeldServer(t, http.StateIdle, 1)
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	<-s.reached
	_, err := io.WriteString(conn, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	s.AwaitData()
	s.CloseIdle(time.Now().Add(time.Hour))
	close(s.release)
	qt.Check(t, readStatus(reader), qt.Equals, http.StatusOK)
}

// TestIdleTimeoutOfPartOfRequest guards against a request whose rest cannot be read any more, because its connection was ended as idle
// after the first part had been read.
func TestIdleTimeoutOfPartOfRequest(t *testing.T) {
	s := newHeldServer(t, http.StateActive, 2)
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	qt.Assert(t, err, qt.IsNil)
	<-s.reached
	s.CloseIdle(time.Now().Add(time.Hour))
	qt.Check(t, s.Ending(), qt.IsFalse)
	close(s.release)
	_, err = io.WriteString(conn, "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, readStatus(reader), qt.Equals, http.StatusOK)
}

// TestIdleConnectionOutlivesLimit guards against requests that get no answer, because the router ends a connection at the age up to which its caller
// may use it again.
func TestIdleConnectionOutlivesLimit(t *testing.T) {
	s := newHeldServer(t, http.StateIdle, 1)
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	<-s.reached
	const onTheWay = time.Second
	s.CloseIdle(time.Now().Add(gateway.DefaultIdleTimeout + onTheWay))
	qt.Check(t, s.Ending(), qt.IsFalse)
	s.CloseIdle(time.Now().Add(gateway.DefaultIdleTimeout + gateway.KeepAliveGrace + onTheWay))
	qt.Check(t, s.Ending(), qt.IsTrue)
	close(s.release)
}

// TestIdleConnectionIsClosed guards against connections without a request that stay open longer than the idle timeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := newHeldServer(t, http.StateHijacked, 1)
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	s.awaitClose(reader, s.closeExpired)
}

// closeExpired closes all idle connections as those whose time is over.
func (s *heldServer) closeExpired() { s.CloseIdle(time.Now().Add(time.Hour)) }

// awaitClose calls a function that ends idle connections until the one with the given reader is closed.
func (s *heldServer) awaitClose(reader *bufio.Reader, endIdle func()) {
	s.t.Helper()
	// The server marks the connection as idle after the caller has read the answer, so the first calls may come too early.
	closed := make(chan error, 1)
	go func() {
		_, err := reader.ReadByte()
		closed <- err
	}()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for {
		select {
		case err := <-closed:
			qt.Check(s.t, err, qt.Equals, io.EOF)
			return
		case <-poll.C:
			endIdle()
		}
	}
}

// TestCountsRequestsThatCrossClose guards against requests that get no answer because they cross the end of an idle connection, and that no metric and
// no line tells of, and against descriptors that are kept although a caller has closed its connection or another one needs them.
func TestCountsRequestsThatCrossClose(t *testing.T) {
	s := newHeldServer(t, http.StateHijacked, 1)
	for _, crosses := range []bool{false, true} {
		conn, reader := s.dial()
		qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
		beforeClose := time.Now()
		s.awaitClose(reader, s.closeExpired)
		qt.Check(t, s.Sweep(beforeClose), qt.Equals, 1)
		if crosses {
			_, err := io.WriteString(conn, simpleRequest)
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, conn.Close(), qt.IsNil)
		}
		for s.Sweep(beforeClose) > 0 { // What the caller has done arrives soon.
			qt.Assert(t, time.Since(beforeClose) < 10*time.Second, qt.IsTrue)
			runtime.Gosched()
		}
	}
	conn, reader := s.dial()
	qt.Assert(t, s.request(conn, reader), qt.Equals, http.StatusOK)
	s.awaitClose(reader, func() { s.FreeDescriptors(time.Now()) })
	qt.Check(t, s.Sweep(time.Now()), qt.Equals, 0)
	counters := s.Counters()
	qt.Check(t, counters[`chicorydale_idle_closes_total{reason="expired"}`], qt.Equals, int64(2))
	qt.Check(t, counters[`chicorydale_idle_closes_total{reason="no_descriptor"}`], qt.Equals, int64(1))
	qt.Check(t, counters["chicorydale_crossed_requests_total"], qt.Equals, int64(1))
	qt.Check(t, strings.Count(s.log.String(), `"event":613`), qt.Equals, 1, qt.Commentf("%s", s.log.String()))
}

// TestLongestIdleConnectionsEndFirst guards against many callers whose requests cross the end of their connections, because all idle connections are
// ended when there are a few too many.
func TestLongestIdleConnectionsEndFirst(t *testing.T) {
	s := newHeldServer(t, http.StateHijacked, 1)
	conns := make([]net.Conn, gateway.MaxOpen(s.CallerServer)+5)
	readers := make([]*bufio.Reader, len(conns))
	for i := range conns {
		conns[i], readers[i] = s.dial()
		qt.Assert(t, s.request(conns[i], readers[i]), qt.Equals, http.StatusOK)
		<-s.idle
	}
	const ended = 5
	closed := make(chan error, ended)
	for i := range ended {
		go func() {
			_, err := readers[i].ReadByte()
			closed <- err
		}()
	}
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for count := 0; count < ended; {
		select {
		case err := <-closed:
			qt.Assert(t, err, qt.Equals, io.EOF)
			count++
		case <-poll.C:
			s.CloseIdle(time.Now().Add(5 * time.Second))
		}
	}
	for i := ended; i < len(conns); i++ {
		qt.Check(t, s.request(conns[i], readers[i]), qt.Equals, http.StatusOK, qt.Commentf("connection %d", i))
	}
}

// TestDataBeforeDeadline guards against a request that counts as late although it arrived in time, because the process read it only
// after the deadline.
func TestDataBeforeDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.New(io.Discard),
		func() uint64 { return 0 })
	callerConn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = callerConn.Close() }()
	routerConn, err := gateway.AcceptCaller(gw, listener)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = routerConn.Close() }()
	_, err = io.WriteString(callerConn, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	gateway.AwaitData(routerConn)
	qt.Assert(t, routerConn.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	buffer := make([]byte, 2*len(simpleRequest))
	n, err := routerConn.Read(buffer)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(buffer[:n]), qt.Equals, simpleRequest)
	_, err = routerConn.Read(buffer)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

// TestLogsRequestsWithoutAnswer guards against connections that are closed without an answer to a request, or in the middle of one that the caller
// does not read, and leave no trace in the log, and against lines about callers that got an answer or left.
func TestLogsRequestsWithoutAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var log strings.Builder
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.New(&log), func() uint64 { return 0 })
	closed := make(chan struct{}, 1)
	hold := func(state http.ConnState, before bool) {
		if state == http.StateClosed && !before {
			closed <- struct{}{}
		}
	}
	server := gateway.ServeCallers(gw, listener, hold, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		switch r.URL.Path {
		case "/cut":
			panic(http.ErrAbortHandler)
		case "/unread":
			_, _ = w.Write(make([]byte, 64<<20)) // The write fails.
		}
	}))
	defer func() { _ = server.Close() }()
	for _, path := range []string{"/answered", "/cut"} {
		conn, err := net.Dial("tcp", server.Address())
		qt.Assert(t, err, qt.IsNil)
		request := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
		_, err = io.WriteString(conn, request)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, readStatus(bufio.NewReader(conn)) == http.StatusOK, qt.Equals, path == "/answered")
		<-closed
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
	unread, err := net.Dial("tcp", server.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = unread.Close() }()
	_, err = io.WriteString(unread, "GET /unread HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-closed
	qt.Check(t, strings.Count(log.String(), `"partial":true`), qt.Equals, 1, qt.Commentf("%s", log.String()))
	conn, err := net.Dial("tcp", server.Address())
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, "GET / HT")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-closed
	qt.Check(t, strings.Count(log.String(), "request_cut"), qt.Equals, 2, qt.Commentf("%s", log.String()))
}

// TestCloseWhenEmpty guards against connections that are reset when the listener is closed, because they still wait to be accepted.
func TestCloseWhenEmpty(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.New(io.Discard),
		func() uint64 { return 0 })
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	polled := gateway.CloseWhenEmpty(t.Context(), gw, listener, closed)
	<-polled
	<-polled
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted.Close(), qt.IsNil)
	<-closed
	_, err = listener.Accept()
	qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
}

// TestRequestBeforeCloseOfIdleConnectionIsAnswered guards against requests that get no answer, because they arrive after the last read of an idle
// connection and before its close.
func TestRequestBeforeCloseOfIdleConnectionIsAnswered(t *testing.T) {
	listener := listen(t)
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	server := gateway.ServeKept(gw, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer func() { _ = server.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	qt.Assert(t, caller.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	conn, err := gateway.AcceptCaller(gw, listener)
	qt.Assert(t, err, qt.IsNil)
	gateway.EndIfIdle(conn)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	_, err = io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Time{}), qt.IsNil)
	gateway.AwaitData(conn)
	for range 2 {
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
	qt.Check(t, readStatus(bufio.NewReader(caller)), qt.Equals, http.StatusOK)
}

// TestNextRequestIsNotYoungerThanItIs guards against targets that work on for callers who have left, because a request counts as sent when the goroutine
// of the request before it ended, although its caller had the whole answer long before.
func TestNextRequestIsNotYoungerThanItIs(t *testing.T) {
	gw := gateway.New(gateway.Settings{MaxOpenFiles: 100}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	since, first := make(chan time.Time, 2), true
	server := gateway.ServeCallers(gw, listen(t), func(http.ConnState, bool) {}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since <- gateway.RequestSince(r)
		if first {
			first = false
			w.Header().Set("Content-Length", "1")
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(queueTime)
		}
	}))
	defer func() { _ = server.Close() }()
	caller, err := net.Dial("tcp", server.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, readStatus(bufio.NewReader(caller)), qt.Equals, http.StatusOK)
	gateway.SetLateness(gw, time.Second)
	sentAt := time.Now()
	_, err = io.WriteString(caller, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	<-since
	got := (<-since).Sub(sentAt)
	qt.Check(t, got < queueTime/2, qt.IsTrue, qt.Commentf("%v", got))
}
