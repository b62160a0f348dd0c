package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/forward"
)

// codec matches responses to requests by the header Id.
type codec struct{}

func (codec) Classify(id string, _ int, header http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{Unmatched: header.Get("Id") != id, NotRun: header.Get("Not-Run") != "", Signed: true}
}

func (codec) StartURI() string { return "/start" }

func (codec) ParseStart(body []byte) (int64, error) { return strconv.ParseInt(string(body), 10, 64) }

// testTarget is a target that answers each request with the function given to newTestTarget.
type testTarget struct {
	net.Listener
	// requests receives the method, URI and body of each request.
	requests chan string
	// accepted receives a value for each accepted connection.
	accepted chan struct{}
}

// newTestTarget starts a target that serves one connection at a time. The function respond gets the number of the request,
// counted from 1, and its ID. It writes the raw response and reports whether to read another request from the connection.
func newTestTarget(t *testing.T, respond func(conn net.Conn, number int, id string) bool) *testTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	started := &testTarget{Listener: listener, requests: make(chan string, 100), accepted: make(chan struct{}, 100)}
	go func() {
		for number := 0; ; {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			started.accepted <- struct{}{}
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(request.Body)
				started.requests <- request.Method + " " + request.RequestURI + " " + string(body)
				number++
				if !respond(conn, number, request.Header.Get("Id")) {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	return started
}

// responseText returns a complete raw response to the request with an ID.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// writeRaw writes a raw response. It ignores errors, as the client may have closed the connection.
func writeRaw(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// newAttempt returns an attempt to send a request with an ID to the target.
func newAttempt(target *testTarget, id string) forward.Attempt {
	return forward.Attempt{
		ID: id, Target: "t", Address: target.Addr().String(), Method: http.MethodPost, URI: "/a//b?x=%2F", Host: "h",
		Header: http.Header{"Id": {id}}, Body: []byte("body of " + id), Deadline: time.Now().Add(5 * time.Second),
	}
}

// sendAndRead sends an attempt and returns the body of the response.
func sendAndRead(t *testing.T, client *forward.Client, attempt forward.Attempt) (string, error) {
	t.Helper()
	response, err := client.Send(t.Context(), attempt)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestRequestUnchangedAndConnectionReused guards against a path, query or body that is changed on the way to the target, for
// example by cleaning the path, and against opening a new connection for each request.
func TestRequestUnchangedAndConnectionReused(t *testing.T) {
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		writeRaw(conn, responseText(id, "answer to "+id))
		return true
	})
	client := forward.NewClient(codec{})
	for i := range 5 {
		id := fmt.Sprint("r", i)
		body, err := sendAndRead(t, client, newAttempt(target, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "answer to "+id)
		qt.Check(t, <-target.requests, qt.Equals, "POST /a//b?x=%2F body of "+id)
	}
	qt.Check(t, target.accepted, qt.HasLen, 1)
}

// TestLateResponse guards against taking a late response to an earlier request for the response to the next request on the same
// connection, and against failing because of it.
func TestLateResponse(t *testing.T) {
	target := newTestTarget(t, func(conn net.Conn, number int, id string) bool {
		if number == 2 {
			writeRaw(conn, responseText("r1", "late answer"))
		}
		writeRaw(conn, responseText(id, "answer to "+id))
		return true
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := sendAndRead(t, client, newAttempt(target, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "answer to "+id)
	}
}

// TestRepeatedRefusalIsNotTakenForResponse guards against a request that counts as not run although it runs, because its target has
// written an earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNotTakenForResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	target := newTestTarget(t, func(conn net.Conn, number int, id string) bool {
		writeRaw(conn, refusal)
		if number == 2 {
			writeRaw(conn, responseText(id, "answer to "+id))
		}
		return number < 3
	})
	client := forward.NewClient(codec{})
	response, err := client.Send(t.Context(), newAttempt(target, "r1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Info.NotRun, qt.IsTrue)
	_, err = io.ReadAll(response)
	qt.Assert(t, err, qt.IsNil)
	response.Close()
	body, err := sendAndRead(t, client, newAttempt(target, "r2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "answer to r2")
	_, err = client.Send(t.Context(), newAttempt(target, "r3"))
	var unknown *forward.OutcomeUnknownError
	qt.Check(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, target.accepted, qt.HasLen, 1)
}

// TestStrayBytes guards against reusing a connection on which the target sent more than its response.
func TestStrayBytes(t *testing.T) {
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		writeRaw(conn, responseText(id, "x")+responseText("forged", "y"))
		return true
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2"} {
		body, err := sendAndRead(t, client, newAttempt(target, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "x")
	}
	qt.Check(t, target.accepted, qt.HasLen, 2)
}

// TestTruncatedResponse guards against a truncated response that is accepted as complete or reported as an unsent request.
func TestTruncatedResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Le",
		"nothing": "",
		"garbage": "\x00\x01\x02 no answer at all\r\n\r\n",
	} {
		target := newTestTarget(t, func(conn net.Conn, _ int, _ string) bool {
			writeRaw(conn, text)
			return false
		})
		_, err := sendAndRead(t, forward.NewClient(codec{}), newAttempt(target, "r1"))
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", name))
		var unsent *forward.UnsentError
		qt.Check(t, errors.As(err, &unsent), qt.IsFalse, qt.Commentf("%s: the target has read the request", name))
	}
}

// TestResponseWithoutLength guards against accepting a response without a length as complete although the connection was reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		target := newTestTarget(t, func(conn net.Conn, _ int, _ string) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nthe body")
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			return false
		})
		body, err := sendAndRead(t, forward.NewClient(codec{}), newAttempt(target, "r1"))
		qt.Check(t, err != nil, qt.Equals, reset)
		if !reset {
			qt.Check(t, body, qt.Equals, "the body")
		}
	}
}

// TestUnsent guards against reporting that a request may have run although the connection was refused.
func TestUnsent(t *testing.T) {
	target := newTestTarget(t, func(net.Conn, int, string) bool { return false })
	_ = target.Close()
	_, err := sendAndRead(t, forward.NewClient(codec{}), newAttempt(target, "r1"))
	var unsent *forward.UnsentError
	qt.Check(t, errors.As(err, &unsent), qt.IsTrue)
}

// TestDelayedProcessIsNoSilentTarget guards against a target that counts as unreachable because this process got no processor time while
// it opened a connection.
func TestDelayedProcessIsNoSilentTarget(t *testing.T) {
	target := newTestTarget(t, func(net.Conn, int, string) bool { return false })
	client := forward.NewClient(codec{})
	client.DelayDials(forward.DialTimeout + 200*time.Millisecond)
	_, err := sendAndRead(t, client, newAttempt(target, "r1"))
	var late *forward.LateDialError
	qt.Check(t, errors.As(err, &late), qt.IsTrue, qt.Commentf("%v", err))
	late = nil
	qt.Check(t, errors.As(client.Probe(t.Context(), "t", target.Addr().String()), &late), qt.IsTrue)
}

// TestIdleConnectionClosedByTarget guards against sending a request on an idle connection that the target has closed. The request
// would fail without telling whether it ran.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	closed := make(chan struct{}, 2)
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		writeRaw(conn, responseText(id, "x"))
		_ = conn.Close()
		closed <- struct{}{}
		return false
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2"} {
		_, err := sendAndRead(t, client, newAttempt(target, id))
		qt.Check(t, err, qt.IsNil)
		<-closed
	}
}

// TestEarlyResponse guards against reusing a connection while a long request is still being written to it, because the target
// responded before it had read the whole request. The next request would be mixed with the rest.
func TestEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			writeRaw(conn, responseText("r1", "too long"))
		}
	}()
	longAttempt := forward.Attempt{
		ID: "r1", Target: "t", Address: listener.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h",
		Body: []byte(strings.Repeat("x", 16<<20)), Deadline: time.Now().Add(5 * time.Second),
	}
	client := forward.NewClient(codec{})
	body, err := sendAndRead(t, client, longAttempt)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "too long")
	qt.Check(t, client.IdleConns(), qt.Equals, 0)
}

// TestContextCancelled guards against a connection that stays open after its context is cancelled, so that the target goes on
// working for a caller that has disconnected.
func TestContextCancelled(t *testing.T) {
	readErr := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		writeRaw(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nhalf")
		cancel()
		_, err := conn.Read(make([]byte, 1))
		readErr <- err
		return false
	})
	response, err := forward.NewClient(codec{}).Send(ctx, newAttempt(target, "r1"))
	if err == nil {
		_, err = io.ReadAll(response)
		response.Close()
	}
	qt.Check(t, err, qt.Not(qt.IsNil))
	qt.Check(t, <-readErr, qt.Not(qt.IsNil))
}

// TestHeaderDeadline guards against waiting until the deadline for a target that sends nothing, although another one could
// respond.
func TestHeaderDeadline(t *testing.T) {
	target := newTestTarget(t, func(conn net.Conn, _ int, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	attempt := newAttempt(target, "r1")
	attempt.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	startedAt := time.Now()
	_, err := sendAndRead(t, forward.NewClient(codec{}), attempt)
	var timeout net.Error
	qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
	qt.Check(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue)
}

// writeEndless writes a text again and again until the client closes the connection, at most limit bytes, and returns how many it has
// written.
func writeEndless(conn net.Conn, text string, limit int) int {
	written := 0
	for written < limit {
		n, err := io.WriteString(conn, text)
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// TestEndlessHead guards against a target whose response has no end before its body begins: memory that grows with all that it sends, and
// processor time until the deadline of the request.
func TestEndlessHead(t *testing.T) {
	const (
		sendLimit  = 64 << 20
		acceptable = 4 << 20 // The client reads 256 KiB; the rest is in socket buffers.
		// sendBuffer bounds what the kernel takes from the target, which would grow to as much as all of this on some systems.
		sendBuffer = 256 << 10
	)
	line := strings.Repeat("x", 1000)
	for name, text := range map[string]string{
		"status line":   line,
		"header":        "X-" + line + ": y\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nX: " + line + "\r\n\r\n",
		"late response": "late " + line,
	} {
		prefix := map[string]string{
			"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nId: r1\r\n", "late response": "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 999999999\r\n\r\n",
		}[name]
		sent := make(chan int, 1)
		target := newTestTarget(t, func(conn net.Conn, _ int, _ string) bool {
			if tcp, ok := conn.(*net.TCPConn); ok {
				qt.Check(t, tcp.SetWriteBuffer(sendBuffer), qt.IsNil)
			}
			writeRaw(conn, prefix)
			sent <- writeEndless(conn, text, sendLimit)
			return false
		})
		_, err := sendAndRead(t, forward.NewClient(codec{}), newAttempt(target, "r1"))
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", name))
		bytes := <-sent
		qt.Check(t, bytes <= acceptable, qt.IsTrue, qt.Commentf("%s: the target sent %d bytes", name, bytes))
	}
}

// TestHeadOfManyLines guards against headers of targets that take many times the memory of their size until their responses end.
func TestHeadOfManyLines(t *testing.T) {
	for name, header := range map[string]string{
		"short lines": strings.Repeat("a:b\r\n", 1000),
		"long line":   "a: " + strings.Repeat("x", 40<<10) + "\r\n",
	} {
		target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+header+"Content-Length: 2\r\n\r\nok")
			return true
		})
		_, err := sendAndRead(t, forward.NewClient(codec{}), newAttempt(target, "r1"))
		var tooLarge *forward.HeaderTooLargeError
		qt.Check(t, errors.As(err, &tooLarge), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// TestDataBeforeDeadline guards against an attempt that fails although data of the target had arrived in time, because the process read
// it only after the deadline, and against a target that keeps sending after the deadline.
func TestDataBeforeDeadline(t *testing.T) {
	more, sent := make(chan struct{}), make(chan struct{})
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		writeRaw(conn, strings.TrimSuffix(responseText(id, "abc"), "bc"))
		for _, part := range []string{"b", "c"} {
			<-more
			writeRaw(conn, part)
			sent <- struct{}{}
		}
		return true
	})
	response, err := forward.NewClient(codec{}).Send(t.Context(), newAttempt(target, "1"))
	qt.Assert(t, err, qt.IsNil)
	defer response.Close()
	buffer := make([]byte, 10)
	n, err := response.Read(buffer)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buffer[:n]), qt.Equals, "a")
	more <- struct{}{}
	<-sent
	passed := time.Now().Add(-time.Second)
	response.LimitRead(forward.SilenceCheck{}, passed, passed)
	n, err = response.Read(buffer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(buffer[:n]), qt.Equals, "b")
	more <- struct{}{}
	<-sent
	_, err = response.Read(buffer)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}
