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

// fake is a router that answers a model call with whole, cut or wrong event streams.
type fake struct {
	answer func(from int64, resumed bool) string
	// cut is the number of bytes after which the first connection breaks, negative for none.
	cut     int
	asked   []string
	refuse  func(path string) (status int, body string)
	silence bool
	// queue is the time before the first event.
	queue time.Duration
}

// serve returns the address of the fake.
func (f *fake) serve(t *testing.T) string {
	t.Helper()
	return serve(t, f)
}

// serve returns the address of a handler.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.asked = append(f.asked, r.URL.RequestURI())
	if f.refuse != nil {
		if status, body := f.refuse(r.URL.Path); status != 0 {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	if f.queue > 0 {
		<-time.After(f.queue)
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	text := f.answer(from, r.Method == http.MethodGet)
	if f.cut < 0 || f.cut >= len(text) {
		_, _ = w.Write([]byte(text))
		return
	}
	_, _ = w.Write([]byte(text[:f.cut]))
	w.(http.Flusher).Flush()
	f.cut = -1
	if f.silence {
		<-r.Context().Done()
		return
	}
	panic(http.ErrAbortHandler)
}

// events returns the events of an answer of four tokens, from an index on.
func events(from int64) string {
	const count = 4
	var text strings.Builder
	text.WriteString(": a comment\r\nevent: start\r\ndata: {\"token\":\"t/1\"}\r\n\r\n")
	for i := from; i < count; i++ {
		fmt.Fprintf(&text, "event: token\nid: %d\ndata: {\"index\":%d,\ndata: \"text\":\"word%d \"}\n\n", i, i, i)
	}
	fmt.Fprintf(&text, "event: later\ndata\n\nevent: end\ndata: {\"tokens\":%d}\n\n", count)
	return text.String()
}

// closed returns an address that refuses connections. Its port stays bound, so that no other process listens there.
func closed(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, syscall.Close(socket), qt.IsNil) })
	qt.Assert(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	name, err := syscall.Getsockname(socket)
	qt.Assert(t, err, qt.IsNil)
	return "127.0.0.1:" + strconv.Itoa(name.(*syscall.SockaddrInet4).Port)
}

// pipes is a network in memory, for tests in virtual time.
type pipes map[string]http.Handler

func (p pipes) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(request.Context(), func() { _ = writer.CloseWithError(context.Canceled) })
	header := http.Header{"Content-Type": {"text/event-stream"}}
	go func() {
		p[request.URL.Host].ServeHTTP(&pipeWriter{writer, header.Clone()}, request)
		_ = writer.Close()
	}()
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: reader, Request: request}, nil
}

// pipeWriter writes the body of an answer into a pipe.
type pipeWriter struct {
	*io.PipeWriter
	header http.Header
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (*pipeWriter) WriteHeader(int) {}

func (*pipeWriter) Flush() {}
