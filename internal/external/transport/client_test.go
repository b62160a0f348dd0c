package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// post is a request that is not idempotent.
var post = transport.Request{System: "s", Address: "s:1", Method: http.MethodPost, Path: "/", Body: []byte("{}")}

// errorKind returns the type of an error of the package in one word.
func errorKind(err error) string {
	var unavailable *external.UnavailableError
	var rejected *external.RejectedError
	var crashed *external.CrashedError
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

// TestNoRetryOnReusedConnection guards against a request that is not idempotent and is sent again, or counts as not run,
// after a reused connection was closed without a response.
func TestNoRetryOnReusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		listener := network.Listen("s:1")
		defer func() { _ = listener.Close() }()
		var requests atomic.Int64
		go respondOnceEach(listener, &requests)
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		c.Assert(client.DoJSON(t.Context(), post, 10, nil), qt.IsNil)
		c.Assert(errorKind(client.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "crashed")
		synctest.Wait()
		c.Assert(requests.Load(), qt.Equals, int64(2))
	})
}

// silencedServer answers requests on a connection until silence is closed, and nothing that arrives on it afterwards.
func silencedServer(conn net.Conn, silence <-chan struct{}) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		select {
		case <-silence:
			continue
		case <-time.After(time.Second):
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// TestSilentConnectionsFailTogether guards against requests that fail one after the other because the idle connections have gone silent, while
// new ones work.
func TestSilentConnectionsFailTogether(t *testing.T) {
	const conns = 5
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		listener := network.Listen("s:1")
		defer func() { _ = listener.Close() }()
		silence := make(chan struct{})
		go func() {
			for number := 0; ; number++ {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if number < conns {
					go silencedServer(conn, silence)
				} else {
					go silencedServer(conn, nil)
				}
			}
		}()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		get := transport.Request{System: "s", Address: "s:1", Method: http.MethodGet, Path: "/"}
		send := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			return client.DoReadOnlyJSON(ctx, get, 10, nil)
		}
		var first sync.WaitGroup
		for range conns {
			first.Go(func() { qt.Check(t, send(), qt.IsNil) })
		}
		first.Wait()
		close(silence)
		qt.Check(t, errorKind(send()), qt.Equals, "unavailable")
		qt.Check(t, send(), qt.IsNil)
	})
}

// respondOnceEach accepts connections until the listener is closed and handles each with respondOnce.
func respondOnceEach(listener net.Listener, requests *atomic.Int64) {
	for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
		go respondOnce(conn, requests)
	}
}

// respondOnce responds to the first request of a connection, reads the second and closes the connection.
func respondOnce(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // A server does not run a request that is not complete.
		}
		requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// TestErrorTypes guards against an error type that means "did not run" for a request that may have run, and the reverse.
func TestErrorTypes(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		want    string
	}{
		"success":            {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }, "none"},
		"not found":          {respondStatus(http.StatusNotFound), "rejected"},
		"rate limit":         {respondStatus(http.StatusTooManyRequests), "rejected"},
		"unavailable":        {respondStatus(http.StatusServiceUnavailable), "rejected"},
		"internal error":     {respondStatus(http.StatusInternalServerError), "crashed"},
		"gateway timeout":    {respondStatus(http.StatusGatewayTimeout), "crashed"},
		"no response":        {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "crashed"},
		"long response":      {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"123456789"`) }, "crashed"},
		"malformed response": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") }, "crashed"},
		"deadline":           {hang, "crashed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network pipenet.Network
				defer network.Serve("s:1", test.handler)()
				client := transport.New(transport.WithDial(network.DialContext))
				defer client.Close()
				var result any
				qt.Assert(t, errorKind(client.DoJSON(t.Context(), post, 10, &result)), qt.Equals, test.want)
			})
		})
	}
}

// TestNoRedirect guards against a request that is not idempotent and is sent again because a redirect is followed.
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
		c.Assert(errorKind(client.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "crashed")
		c.Assert(requests.Load(), qt.Equals, int64(1))
	})
}

// TestDialFailure guards against a request that counts as possibly run although its dial failed or timed out.
func TestDialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		client := transport.New(transport.WithDial(network.DialContext))
		err := client.DoJSON(t.Context(), post, 10, nil)
		c.Assert(errorKind(err), qt.Equals, "unavailable")
		c.Assert(strings.Contains(err.Error(), "refused"), qt.IsTrue)
		hangingClient := transport.New(transport.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		c.Assert(errorKind(hangingClient.DoJSON(t.Context(), post, 10, nil)), qt.Equals, "unavailable")
	})
}

// respondStatus returns a handler that responds with a status code.
func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "reason", code) }
}

// hang never responds. It reads the body first, because the server notices only then that the client has disconnected.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestNoRequestAfterSendDeadline guards against a request that is written after its deadline, because the process was paused, or
// the connection took long, since the last check.
func TestNoRequestAfterSendDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		listener := network.Listen("s:1")
		defer func() { _ = listener.Close() }()
		var requests atomic.Int64
		go respondOnceEach(listener, &requests)
		dialDelay := time.Duration(0)
		client := transport.New(transport.WithDial(func(ctx context.Context, networkName, address string) (net.Conn, error) {
			time.Sleep(dialDelay)
			return network.DialContext(ctx, networkName, address)
		}))
		defer client.Close()
		request := post
		request.SendDeadline = time.Now().Add(100 * time.Millisecond)
		c.Assert(client.DoJSON(t.Context(), request, 10, nil), qt.IsNil)
		client.Close()
		dialDelay = 200 * time.Millisecond
		c.Check(errorKind(client.DoJSON(t.Context(), request, 10, nil)), qt.Equals, "crashed")
		c.Check(requests.Load(), qt.Equals, int64(1))
	})
}
