package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeRouter is a router that answers a model call with a complete, interrupted or invalid event stream.
type fakeRouter struct {
	// body returns the event stream from a token index on.
	body func(from int64, resumed bool) string
	// cutAt is the number of bytes after which the first connection ends, negative for none.
	cutAt int
	// requestURIs are those of all requests so far.
	requestURIs []string
	// refuse returns the status and body of a refusal, status zero for none; nil refuses nothing.
	refuse func(path string) (status int, body string)
	// hangAtCut keeps the connection open at cutAt without sending anything.
	hangAtCut bool
	// startDelay is the time before the first event.
	startDelay time.Duration
}

// start serves the router until the end of the test and returns its address.
func (f *fakeRouter) start(t *testing.T) string {
	t.Helper()
	return startServer(t, f)
}

// startServer serves handler until the end of the test and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requestURIs = append(f.requestURIs, r.URL.RequestURI())
	if f.refuse != nil {
		if status, body := f.refuse(r.URL.Path); status != 0 {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	if f.startDelay > 0 {
		<-time.After(f.startDelay)
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	stream := f.body(from, r.Method == http.MethodGet)
	if f.cutAt < 0 || f.cutAt >= len(stream) {
		_, _ = w.Write([]byte(stream))
		return
	}
	_, _ = w.Write([]byte(stream[:f.cutAt]))
	w.(http.Flusher).Flush()
	f.cutAt = -1
	if f.hangAtCut {
		<-r.Context().Done()
		return
	}
	panic(http.ErrAbortHandler)
}

// eventsFrom returns the event stream of a response of four tokens, from a token index on.
func eventsFrom(from int64) string {
	const count = 4
	var stream strings.Builder
	stream.WriteString(": a comment\r\nevent: start\r\ndata: {\"token\":\"t/1\"}\r\n\r\n")
	for i := from; i < count; i++ {
		fmt.Fprintf(&stream, "event: token\nid: %d\ndata: {\"index\":%d,\ndata: \"text\":\"word%d \"}\n\n", i, i, i)
	}
	fmt.Fprintf(&stream, "event: later\ndata\n\nevent: end\ndata: {\"tokens\":%d}\n\n", count)
	return stream.String()
}

// refusingAddress returns an address that refuses connections. Its port stays bound until the end of the test, so that no
// other process can listen there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, syscall.Close(socket), qt.IsNil) })
	qt.Assert(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	bound, err := syscall.Getsockname(socket)
	qt.Assert(t, err, qt.IsNil)
	return "127.0.0.1:" + strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)
}

// pipeTransport is an HTTP transport in memory for tests in virtual time. It maps addresses to handlers.
type pipeTransport map[string]http.Handler

func (p pipeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(request.Context(), func() { _ = writer.CloseWithError(context.Canceled) })
	header := http.Header{"Content-Type": {"text/event-stream"}}
	go func() {
		p[request.URL.Host].ServeHTTP(&pipeWriter{writer, header.Clone()}, request)
		_ = writer.Close()
	}()
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: reader, Request: request}, nil
}

// pipeWriter is a response writer that writes the body into a pipe.
type pipeWriter struct {
	*io.PipeWriter
	header http.Header
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (*pipeWriter) WriteHeader(int) {}

func (*pipeWriter) Flush() {}
