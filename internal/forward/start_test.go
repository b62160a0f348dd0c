package forward_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/forward"
)

// newStartingTarget starts a target that answers requests for its start with the given text, and others as usual. The start has no ID.
func newStartingTarget(t *testing.T, startText string) *testTarget {
	t.Helper()
	return newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		if id == "" {
			writeRaw(conn, startText)
			return true
		}
		writeRaw(conn, responseText(id, "answer to "+id))
		return true
	})
}

// startText returns a complete raw answer that tells the start 7.
func startText() string {
	const body = "7"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startsAsked returns how often the target was asked for its start. No request may follow.
func (t *testTarget) startsAsked() int {
	close(t.requests)
	asked := 0
	for request := range t.requests {
		if request == "GET /start " {
			asked++
		}
	}
	return asked
}

// TestRequestForOneStartOfTarget guards against a request that reaches another start of its target, which may run other software, and against a
// target that is asked for its start with each request.
func TestRequestForOneStartOfTarget(t *testing.T) {
	target := newStartingTarget(t, startText())
	client := forward.NewClient(codec{})
	attempt := newAttempt(target, "r1")
	attempt.StartUnixMilli, attempt.StartRequired = 6, true
	_, err := sendAndRead(t, client, attempt)
	var unsent *forward.UnsentError
	var other *forward.OtherStartError
	qt.Assert(t, errors.As(err, &unsent) && errors.As(err, &other), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, other.Reported, qt.Equals, int64(7))
	qt.Check(t, <-target.requests, qt.Equals, "GET /start ")
	attempt.StartUnixMilli = 7
	for range 3 {
		_, err = sendAndRead(t, client, attempt)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, <-target.requests, qt.Equals, "GET /start ")
	for range 3 {
		qt.Check(t, <-target.requests, qt.Equals, "POST /a//b?x=%2F body of r1")
	}
	qt.Check(t, target.accepted, qt.HasLen, 2)
}

// TestTargetThatDoesNotTellItsStart guards against a stream that goes on at a target whose start is not known, and against requests that no target
// gets because none tells its start.
func TestTargetThatDoesNotTellItsStart(t *testing.T) {
	for name, text := range map[string]string{
		"not found":      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"no number":      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1\r\n\r\n{",
		"stream":         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n",
		"closes":         "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7",
		"additional":     startText() + "x",
		"is no response": "7\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newStartingTarget(t, text)
			client := forward.NewClient(codec{})
			attempt := newAttempt(target, "r1")
			attempt.StartUnixMilli, attempt.StartRequired = 7, true
			_, err := sendAndRead(t, client, attempt)
			var unknown *forward.UnknownStartError
			qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
			attempt.StartRequired = false
			for range 3 {
				_, err = sendAndRead(t, client, attempt)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Check(t, target.startsAsked(), qt.Equals, 2)
		})
	}
}

// TestStartIsNotAskedOnEachConnection guards against a target that is asked for its start with each new connection, although it has just told it,
// and against a stream that goes on without asking.
func TestStartIsNotAskedOnEachConnection(t *testing.T) {
	target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
		if id == "" {
			writeRaw(conn, startText())
			return true
		}
		// Without this header, the client may send the next request before it sees that the connection is closed.
		writeRaw(conn, strings.Replace(responseText(id, "answer to "+id), "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	})
	client := forward.NewClient(codec{})
	attempt := newAttempt(target, "r1")
	attempt.StartUnixMilli = 7
	for _, required := range []bool{false, false, false, true} {
		attempt.StartRequired = required
		_, err := sendAndRead(t, client, attempt)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, target.startsAsked(), qt.Equals, 2)
}

// TestStartIsAskedWhenAnotherMayRun guards against a target that is asked for its start although what it has sent shows which one runs, and against
// a stream that begins unasked at a target that may have started again since.
func TestStartIsAskedWhenAnotherMayRun(t *testing.T) {
	const requests = 4
	almost := forward.MinRestartTime * 9 / 10
	for name, test := range map[string]struct {
		answer string
		// beforeRead passes between the head of an answer and the rest, betweenRequests after that.
		beforeRead, betweenRequests time.Duration
		asked                       int
	}{
		"answers":          {answer: "whole", betweenRequests: almost, asked: 1},
		"long quiet":       {answer: "whole", betweenRequests: forward.MinRestartTime, asked: requests},
		"answer read late": {answer: "whole", beforeRead: forward.MinRestartTime, asked: requests},
		"broken answer":    {answer: "brok", asked: requests},
	} {
		t.Run(name, func(t *testing.T) {
			rest := make(chan struct{})
			target := newTestTarget(t, func(conn net.Conn, _ int, id string) bool {
				if id == "" {
					writeRaw(conn, startText())
					return true
				}
				writeRaw(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\nContent-Length: 5\r\n\r\n")
				<-rest
				writeRaw(conn, test.answer)
				return false
			})
			var now atomic.Int64
			now.Store(int64(time.Hour))
			client := forward.NewClient(codec{})
			client.SetClock(func() boottime.Instant { return boottime.Instant(now.Load()) })
			attempt := newAttempt(target, "r1")
			attempt.StartUnixMilli = 7
			for range requests {
				now.Add(int64(test.betweenRequests) + 1)
				response, err := client.Send(t.Context(), attempt)
				qt.Assert(t, err, qt.IsNil)
				rest <- struct{}{}
				now.Add(int64(test.beforeRead) + 1)
				body, _ := io.ReadAll(response)
				qt.Check(t, string(body), qt.Equals, test.answer)
				response.Close()
			}
			qt.Check(t, target.startsAsked(), qt.Equals, test.asked)
		})
	}
}
