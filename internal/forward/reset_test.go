package forward_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/forward"
)

// uploadBytes is the size of a request that is still being written when its answer arrives.
const uploadBytes = 6 << 20

// sendUpload sends a long request to a target that answers at once, without a length, and returns the body of the answer. The function end gets the
// connection after the answer was sent.
func sendUpload(t *testing.T, end func(conn *net.TCPConn)) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf")
		end(conn.(*net.TCPConn)) //nolint:forcetypeassert // As listened.
	}()
	return sendAndRead(t, forward.NewClient(codec{}), forward.Attempt{
		ID: "r1", Target: "t", Address: listener.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{"Id": {"r1"}}, Body: make([]byte, uploadBytes), Deadline: time.Now().Add(5 * time.Second),
	})
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer without a length that counts as the whole of it, because its target has reset the
// connection and the kernel has reported that to the write of the request.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for range 40 {
		body, err := sendUpload(t, func(conn *net.TCPConn) {
			time.Sleep(2 * time.Millisecond) // The client reads the part that was sent, and waits for more.
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		var reset *forward.ResetError
		isReset := errors.As(err, &reset) || errors.Is(err, syscall.ECONNRESET)
		qt.Check(t, isReset, qt.IsTrue, qt.Commentf("%q, %v", body, err))
	}
}

// TestEarlyAnswerToUploadIsWhole guards against a whole answer without a length that counts as broken off, because its target goes on reading the
// request.
func TestEarlyAnswerToUploadIsWhole(t *testing.T) {
	body, err := sendUpload(t, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "half")
}
