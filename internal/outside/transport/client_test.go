package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

// post is a request with an effect.
var post = transport.Request{System: "s", Address: "s:1", Method: http.MethodPost, Path: "/", Body: []byte("{}")}

// classify names the type of an error of the package.
func classify(err error) string {
	var unavailable *outside.UnavailableError
	var rejected *outside.RejectedError
	var crashed *outside.CrashedError
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &rejected):
		return "rejected"
	case errors.As(err, &crashed):
		return "crashed"
	}
	return err.Error()
}

// Guards against a request with an effect that is sent again, or counted as not run, after a reused connection died
// without an answer.
func TestNoSilentRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		listener := network.Listen("s:1")
		defer func() { _ = listener.Close() }()
		var requests atomic.Int64
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				go answerOnce(conn, &requests)
			}
		}()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		c.Assert(client.DoJSON(t.Context(), post, 10, nil), qt.IsNil)
		c.Assert(classify(client.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "crashed")
		synctest.Wait()
		c.Assert(requests.Load(), qt.Equals, int64(2))
	})
}

// answerOnce answers the first request of a connection, reads the second and closes.
func answerOnce(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// Guards against an error type that says "did not run" of a request that may have run, and the reverse.
func TestClassification(t *testing.T) {
	statuses := map[string]struct {
		handler http.HandlerFunc
		want    string
	}{
		"success":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }, "none"},
		"not found":     {status(http.StatusNotFound), "rejected"},
		"rate limit":    {status(http.StatusTooManyRequests), "rejected"},
		"down":          {status(http.StatusServiceUnavailable), "rejected"},
		"failed":        {status(http.StatusInternalServerError), "crashed"},
		"gateway":       {status(http.StatusGatewayTimeout), "crashed"},
		"no answer":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "crashed"},
		"long answer":   {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"123456789"`) }, "crashed"},
		"broken answer": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") }, "crashed"},
		"deadline":      {hang, "crashed"},
	}
	for name, test := range statuses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network pipenet.Network
				defer network.Serve("s:1", test.handler)()
				client := transport.New(transport.WithDial(network.DialContext))
				defer client.Close()
				var answer any
				qt.Assert(t, classify(client.DoJSON(t.Context(), post, 10, &answer)), qt.Equals, test.want)
			})
		})
	}
}

// Guards against a request with an effect that is sent a second time to where a redirect points.
func TestNoRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		var requests atomic.Int64
		defer network.Serve("s:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}))()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		c.Assert(classify(client.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "crashed")
		c.Assert(requests.Load(), qt.Equals, int64(1))
	})
}

// Guards against a request that counts as possibly run although no connection was opened, in time or at all.
func TestNotOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		client := transport.New(transport.WithDial(network.DialContext))
		err := client.DoJSON(t.Context(), post, 10, nil)
		c.Assert(classify(err), qt.Equals, "unavailable")
		c.Assert(strings.Contains(err.Error(), "refused"), qt.IsTrue)
		hanging := transport.New(transport.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		c.Assert(classify(hanging.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "unavailable")
	})
}

// status returns a handler that answers with a status.
func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "reason", code) }
}

// hang never answers. The server notices that the client is gone only after the body was read.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
