package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// lingerTimeout is how long a connection is read after its last answer. Bytes that arrive after it is closed reset it, and a reset may
	// destroy an answer on its way.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is the number of bytes that are read meanwhile at most.
	maxLingerBytes = 8 << 20
	// refusalBufferBytes is the size of the buffer for what has arrived of a refused request.
	refusalBufferBytes = 4 << 10
	// refusedConnFraction is the fraction of the file descriptors that refused connections may use until their requests have arrived.
	refusedConnFraction = 0.25
)

// unreadRefuser refuses requests on new connections that this router would begin to handle too late. It sends them no further, so they cannot
// run. It is safe for concurrent use.
type unreadRefuser struct {
	handovers *handovers
	maxOpen   int

	mu sync.Mutex
	// open holds the connections whose requests have not arrived yet, or not completely. It has at most maxOpen. The value is set for those that wait
	// for the first byte.
	open map[*net.TCPConn]bool
}

// newUnreadRefuser returns a refuser for a process with a number of file descriptors.
func newUnreadRefuser(handovers *handovers, maxOpenFiles int) *unreadRefuser {
	return &unreadRefuser{
		handovers: handovers, maxOpen: int(float64(maxOpenFiles) * refusedConnFraction), open: make(map[*net.TCPConn]bool),
	}
}

// refuse refuses the request on a connection, at once or when it arrives. The buffer is used until it returns. It reports false if nothing has
// arrived and too many connections wait for their requests.
func (r *unreadRefuser) refuse(conn *net.TCPConn, buffer []byte) bool {
	if received := readReceived(conn, buffer); len(received) > 0 {
		r.answer(conn, received)
		return true
	}
	return r.handle(conn, true, r.awaitRequest)
}

// handle runs a function for a connection in a goroutine of its own, and reports false if too many of them run. awaitsRequest is set if the function
// waits for the first byte.
func (r *unreadRefuser) handle(conn *net.TCPConn, awaitsRequest bool, do func(*net.TCPConn)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= r.maxOpen {
		return false
	}
	r.open[conn] = awaitsRequest
	go func() {
		do(conn)
		r.remove(conn)
	}()
	return true
}

// remove forgets a connection that is handled no longer.
func (r *unreadRefuser) remove(conn *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, conn)
}

// endUnused ends the connections on which nothing has arrived. It returns the number of open connections.
func (r *unreadRefuser) endUnused() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, awaitsRequest := range r.open {
		if awaitsRequest {
			_ = conn.SetReadDeadline(time.Now()) // On a broken connection, the read fails anyway.
		}
	}
	return len(r.open)
}

// requestArrived records that a connection does not wait for its first byte any longer.
func (r *unreadRefuser) requestArrived(conn *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[conn] = false
	_ = conn.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
}

// awaitRequest waits for the request on a connection. It is refused, or served if this router has caught up meanwhile.
func (r *unreadRefuser) awaitRequest(conn *net.TCPConn) {
	_ = conn.SetReadDeadline(time.Now().Add(readHeaderTimeout)) // On a broken connection, the read fails anyway.
	var first [1]byte
	// A read deadline may have passed although data has arrived.
	if len(peekReceived(conn, first[:])) == 0 && !hasData(conn) {
		_ = conn.Close() // There is no request.
		return
	}
	r.requestArrived(conn)
	now := time.Now()
	if !r.handovers.shouldRefuse(now) {
		r.handovers.keep(conn, now)
		return
	}
	r.refuseArrived(conn, readReceived(conn, make([]byte, refusalBufferBytes)))
}

// answer refuses the request of which some bytes were read.
func (r *unreadRefuser) answer(conn *net.TCPConn, received []byte) {
	if r.sendRefusal(conn); isWholeRequest(received) || !r.handle(conn, false, lingerClose) {
		_ = conn.Close() // The answer was sent.
	}
}

// refuseArrived is answer for a connection that is handled already.
func (r *unreadRefuser) refuseArrived(conn *net.TCPConn, received []byte) {
	if r.sendRefusal(conn); isWholeRequest(received) {
		_ = conn.Close() // The answer was sent.
		return
	}
	lingerClose(conn)
}

// sendRefusal sends the refusal of a request.
func (r *unreadRefuser) sendRefusal(conn *net.TCPConn) {
	r.handovers.counts.refused.Add(1)
	retryDelay := overload.RetryDelay(r.handovers.probe.delay(time.Now()))
	_, _ = conn.Write([]byte(unreadRefusal(retryDelay))) // A caller that has left gets no answer.
}

// isWholeRequest reports whether bytes are exactly one request.
func isWholeRequest(received []byte) bool {
	reader := bytes.NewReader(received)
	buffered := bufio.NewReader(reader)
	r, err := http.ReadRequest(buffered)
	if err != nil {
		return false
	}
	headBytes := len(received) - reader.Len() - buffered.Buffered()
	return requestBytes(r, headBytes) == int64(len(received))
}

// requestBytes returns the size of a whole request with the given head, 0 if the head does not tell it. size is the length of the head.
func requestBytes(r *http.Request, size int) int64 {
	if r.ContentLength < 0 {
		return 0
	}
	return int64(size) + r.ContentLength
}

// unreadRefusal returns the answer to a request that has not run, whose caller is to come back after a delay.
func unreadRefusal(retryDelay time.Duration) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", retryDelay.Seconds())
}

// lingerClose closes a connection after its last answer was sent: at once for the other end, and altogether when that has closed it.
func lingerClose(conn *net.TCPConn) {
	_ = conn.CloseWrite() // On a broken connection, the read fails as well.
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxLingerBytes) // What still arrives has been answered.
	_ = conn.Close()
}

// readReceived reads what has arrived on a connection into the buffer, without waiting.
func readReceived(conn *net.TCPConn, buffer []byte) []byte {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT) }) != nil {
		return nil
	}
	return buffer[:max(n, 0)]
}
