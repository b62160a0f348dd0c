package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

const (
	// minUnreadRetryDelay and maxUnreadRetryDelay bound the time after which a caller is told to come back, to another router.
	minUnreadRetryDelay = 10 * time.Millisecond
	maxUnreadRetryDelay = 100 * time.Millisecond
	// maxRefusedBytes is the number of bytes of a refused request that are read at most. Unread bytes would reset the connection and may
	// destroy the refusal on its way.
	maxRefusedBytes = 64 << 10
	// unreadWriteTimeout limits the time to send a refusal.
	unreadWriteTimeout = 10 * time.Millisecond
)

// refuseUnread refuses the request on a new connection without parsing it, and closes the connection. If nothing has arrived, the connection
// is closed without an answer, which could not belong to a request. Nothing of the request can run in either case.
func refuseUnread(conn *net.TCPConn, buffer []byte) {
	if discardReceived(conn, buffer) {
		retryDelay := minUnreadRetryDelay + rand.N(maxUnreadRetryDelay-minUnreadRetryDelay)
		// A caller that does not read gets no answer.
		_ = conn.SetWriteDeadline(time.Now().Add(unreadWriteTimeout))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			retryDelay.Seconds())
	}
	_ = conn.Close() // The connection is over in any case.
}

// discardReceived reads what has arrived on a connection, without waiting. It reports whether anything had.
func discardReceived(conn *net.TCPConn, buffer []byte) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	total := 0
	err = raw.Control(func(fd uintptr) {
		for total < maxRefusedBytes {
			n, _, recvErr := syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
			if recvErr != nil || n <= 0 {
				return
			}
			total += n
			if n < len(buffer) {
				return
			}
		}
	})
	return err == nil && total > 0
}
