package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/forward"
)

// codec matches answers by the header Id.
type codec struct{}

func (codec) Classify(id string, _ int, header http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{Foreign: header.Get("Id") != id, NotRun: header.Get("Not-Run") != "", Signed: true}
}

// target is a target that answers each request on a connection with the next script.
type target struct {
	net.Listener
	// heard gets the request line and body of each request.
	heard chan string
	// opened counts connections.
	opened chan struct{}
}

// newTarget starts a target. The script of a request writes the raw answer; it reports whether to go on reading.
func newTarget(t *testing.T, script func(conn net.Conn, number int, id string) bool) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	served := &target{Listener: listener, heard: make(chan string, 100), opened: make(chan struct{}, 100)}
	go func() {
		for number := 0; ; {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.opened <- struct{}{}
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(request.Body)
				served.heard <- request.Method + " " + request.RequestURI + " " + string(body)
				number++
				if !script(conn, number, request.Header.Get("Id")) {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	return served
}

// answer returns a complete answer with an id.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// write writes a raw answer; the reader may be gone.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// attempt returns an attempt at a target.
func attempt(to *target, id string) forward.Attempt {
	return forward.Attempt{
		ID: id, Target: "t", Address: to.Addr().String(), Method: http.MethodPost, URI: "/a//b?x=%2F", Host: "h",
		Header: http.Header{"Id": {id}}, Body: []byte("body of " + id), Deadline: time.Now().Add(5 * time.Second),
	}
}

// send returns the body of the answer to an attempt.
func send(t *testing.T, client *forward.Client, sent forward.Attempt) (string, error) {
	t.Helper()
	got, err := client.Send(t.Context(), sent)
	if err != nil {
		return "", err
	}
	defer got.Close()
	body, err := io.ReadAll(got)
	return string(body), err
}

// TestUnchanged guards against a path, query or body that reaches the target in another form, and against a connection
// that is not used again.
func TestUnchanged(t *testing.T) {
	to := newTarget(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, answer(id, "answer to "+id))
		return true
	})
	client := forward.NewClient(codec{})
	for i := range 5 {
		id := fmt.Sprint("r", i)
		body, err := send(t, client, attempt(to, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "answer to "+id)
		qt.Check(t, <-to.heard, qt.Equals, "POST /a//b?x=%2F body of "+id)
	}
	qt.Check(t, to.opened, qt.HasLen, 1)
}

// TestLateAnswer guards against an answer to an earlier request that is taken for the one to the next request on the
// connection, and against its bytes that stay in the way.
func TestLateAnswer(t *testing.T) {
	to := newTarget(t, func(conn net.Conn, number int, id string) bool {
		if number == 2 {
			write(conn, answer("r1", "late answer"))
		}
		write(conn, answer(id, "answer to "+id))
		return true
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := send(t, client, attempt(to, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "answer to "+id)
	}
}

// TestStrayBytes guards against a connection that is used again although the target sent more than its answer.
func TestStrayBytes(t *testing.T) {
	to := newTarget(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, answer(id, "x")+answer("forged", "y"))
		return true
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2"} {
		body, err := send(t, client, attempt(to, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "x")
	}
	qt.Check(t, to.opened, qt.HasLen, 2)
}

// TestTorn guards against an answer that ends early and looks whole.
func TestTorn(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Le",
		"nothing": "",
		"garbage": "\x00\x01\x02 no answer at all\r\n\r\n",
	} {
		to := newTarget(t, func(conn net.Conn, _ int, _ string) bool {
			write(conn, text)
			return false
		})
		_, err := send(t, forward.NewClient(codec{}), attempt(to, "r1"))
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", name))
		var unsent *forward.UnsentError
		qt.Check(t, errors.As(err, &unsent), qt.IsFalse, qt.Commentf("%s: the target has read the request", name))
	}
}

// TestUnframed guards against an answer without a length that counts as whole although its connection was reset.
func TestUnframed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		to := newTarget(t, func(conn net.Conn, _ int, _ string) bool {
			write(conn, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nthe body")
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			return false
		})
		body, err := send(t, forward.NewClient(codec{}), attempt(to, "r1"))
		qt.Check(t, err != nil, qt.Equals, reset)
		if !reset {
			qt.Check(t, body, qt.Equals, "the body")
		}
	}
}

// TestUnsent guards against a request that counts as possibly run although no target has seen it.
func TestUnsent(t *testing.T) {
	to := newTarget(t, func(net.Conn, int, string) bool { return false })
	_ = to.Close()
	_, err := send(t, forward.NewClient(codec{}), attempt(to, "r1"))
	var unsent *forward.UnsentError
	qt.Check(t, errors.As(err, &unsent), qt.IsTrue)
}

// TestClosedMeanwhile guards against a request on a kept connection that the target has closed: it would be lost, and
// nobody could tell whether it ran.
func TestClosedMeanwhile(t *testing.T) {
	closed := make(chan struct{}, 2)
	to := newTarget(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, answer(id, "x"))
		_ = conn.Close()
		closed <- struct{}{}
		return false
	})
	client := forward.NewClient(codec{})
	for _, id := range []string{"r1", "r2"} {
		_, err := send(t, client, attempt(to, id))
		qt.Check(t, err, qt.IsNil)
		<-closed
	}
}

// TestEarlyAnswer guards against a long request whose rest is written into the next one's place, after the target has
// answered before it read all.
func TestEarlyAnswer(t *testing.T) {
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
			write(conn, answer("r1", "too long"))
		}
	}()
	long := forward.Attempt{
		ID: "r1", Target: "t", Address: listener.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h",
		Body: []byte(strings.Repeat("x", 16<<20)), Deadline: time.Now().Add(5 * time.Second),
	}
	client := forward.NewClient(codec{})
	body, err := send(t, client, long)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "too long")
	qt.Check(t, client.IdleConns(), qt.Equals, 0)
}

// TestCancelled guards against a target that works on for a caller who has left.
func TestCancelled(t *testing.T) {
	gone := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	to := newTarget(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nhalf")
		cancel()
		_, err := conn.Read(make([]byte, 1))
		gone <- err
		return false
	})
	got, err := forward.NewClient(codec{}).Send(ctx, attempt(to, "r1"))
	if err == nil {
		_, err = io.ReadAll(got)
		got.Close()
	}
	qt.Check(t, err, qt.Not(qt.IsNil))
	qt.Check(t, <-gone, qt.Not(qt.IsNil))
}

// TestFirstLimit guards against a caller that waits for a silent target although another one could answer.
func TestFirstLimit(t *testing.T) {
	to := newTarget(t, func(conn net.Conn, _ int, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	sent := attempt(to, "r1")
	sent.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	began := time.Now()
	_, err := send(t, forward.NewClient(codec{}), sent)
	var timeout net.Error
	qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
	qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue)
}
