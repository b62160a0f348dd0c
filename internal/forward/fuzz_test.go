package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chicorydale/chicorydale/internal/forward"
)

// FuzzAnswer guards against bytes of a target that end the process, and against an answer without the request's id that is
// passed on.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
		answer, err := forward.NewClient(codec{}).Send(t.Context(), forward.Attempt{
			ID: "r1", Target: "t", Address: listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h",
			Header: http.Header{"Id": {"r1"}}, Deadline: time.Now().Add(2 * time.Second),
		})
		if err != nil {
			return
		}
		defer answer.Close()
		_, _ = io.Copy(io.Discard, answer)
		if answer.Header.Get("Id") != "r1" || !strings.Contains(text, "r1") {
			t.Fatalf("passed on %v", answer.Header)
		}
	})
}
