package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout is how long a connection is read after its last answer. Bytes that arrive after it is closed reset it, and a reset may
	// destroy an answer on its way.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is the number of bytes that are read meanwhile at most.
	maxLingerBytes = 8 << 20
	// refusalBufferBytes is the size of the buffer for what has arrived of a refused request.
	refusalBufferBytes = 16 << 10
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

// refuseIfLate refuses the request on a new connection if this router is too late for its customer. The buffer is used until it returns. It
// reports whether it did; otherwise the connection is to be served.
func (r *unreadRefuser) refuseIfLate(conn *net.TCPConn, buffer []byte, now time.Time) bool {
	arrived := peekArrived(conn, buffer)
	head := r.handovers.parseArrived(arrived, now)
	return r.handovers.shouldRefuse(now, &head) && r.refuse(conn, head, buffer, len(arrived) > 0, now)
}

// refuseSocket does the same for a connection on which data has arrived. It reports false if the connection is to be served.
func (r *unreadRefuser) refuseSocket(accepted socket, arrived, buffer []byte, now time.Time) (refused bool, conn *net.TCPConn, err error) {
	head := r.handovers.parseArrived(arrived, now)
	mustRefuse := r.handovers.shouldRefuse(now, &head)
	if mustRefuse && head.bytes == int64(len(arrived)) {
		r.handovers.recordRefused(&head)
		accepted.answer(len(arrived), buffer, unreadRefusal(r.handovers.retryDelay(now, head.deadline)))
		accepted.close()
		return true, nil, nil
	}
	refuse := func() { accepted.answer(len(arrived), buffer, unreadRefusal(retryAfter)) }
	if conn, err = accepted.tcpConn(refuse); err != nil {
		return false, nil, err
	}
	return mustRefuse && r.refuse(conn, head, buffer, true, now), conn, nil
}

// refuse refuses the request with the given head at once if a part of it has arrived by the time now, or else when it arrives. It reports false if
// too many connections wait for their requests.
func (r *unreadRefuser) refuse(conn *net.TCPConn, head requestHead, buffer []byte, hasArrived bool, now time.Time) bool {
	if !hasArrived {
		return r.handle(conn, true, func(conn *net.TCPConn) { r.awaitRequest(conn, now) })
	}
	if r.sendRefusal(conn, head, buffer) || !r.handle(conn, false, lingerClose) {
		_ = conn.Close() // The answer was sent.
	}
	return true
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

// awaitRequest waits for the request on a connection, none of which had arrived at a time. It is refused, or served if this router has caught up
// meanwhile.
func (r *unreadRefuser) awaitRequest(conn *net.TCPConn, awaitedSince time.Time) {
	_ = conn.SetReadDeadline(time.Now().Add(readHeaderTimeout)) // On a broken connection, the read fails anyway.
	var first [1]byte
	if len(peekReceived(conn, first[:])) == 0 {
		_ = conn.Close() // There is no request.
		return
	}
	r.requestArrived(conn)
	now := time.Now()
	buffer := make([]byte, refusalBufferBytes)
	head := r.handovers.parseArrived(peekArrived(conn, buffer), now)
	if r.handovers.mayRefuse(now) && r.handovers.shouldRefuse(now, &head) {
		r.sendRefusal(conn, head, buffer)
		lingerClose(conn)
		return
	}
	// Its wait counts from the arrival of the request, not from the accept.
	begun := acceptedConn{TCPConn: conn, acceptedAt: now, awaitedSince: r.handovers.readSince(awaitedSince)}
	if !r.handovers.take(begun) {
		r.handovers.keep(begun)
	}
}

// sendRefusal refuses the request with the given head. It reports whether all of it has arrived, so that the connection may be closed at once.
func (r *unreadRefuser) sendRefusal(conn *net.TCPConn, head requestHead, buffer []byte) (isWhole bool) {
	r.handovers.recordRefused(&head)
	discarded := discardArrived(conn, buffer)
	retryDelay := r.handovers.retryDelay(time.Now(), head.deadline)
	_, _ = conn.Write([]byte(unreadRefusal(retryDelay))) // A caller that has left gets no answer.
	return head.bytes == discarded
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

// peekArrived copies what has arrived on a connection into the buffer, without waiting or consuming it.
func peekArrived(conn *net.TCPConn, buffer []byte) []byte {
	n := 0
	controlConn(conn, func(fd int) { n, _, _ = syscall.Recvfrom(fd, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
	return buffer[:max(n, 0)]
}

// discardArrived reads what has arrived on a connection, without waiting, and returns the number of bytes.
func discardArrived(conn *net.TCPConn, buffer []byte) (total int64) {
	controlConn(conn, func(fd int) {
		for {
			n, _, err := syscall.Recvfrom(fd, buffer, syscall.MSG_DONTWAIT)
			if err != nil || n <= 0 {
				return
			}
			total += int64(n)
			if n < len(buffer) {
				return
			}
		}
	})
	return total
}

// controlConn calls a function with the file descriptor of a connection, unless it is closed.
func controlConn(conn *net.TCPConn, do func(fd int)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { do(int(fd)) }) // A closed connection has no data.
}
