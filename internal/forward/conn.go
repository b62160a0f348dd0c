package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/latedata"
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4096

// errNotReusable reports that an idle connection is past its idle deadline or holds bytes that belong to no request.
var errNotReusable = errors.New("idle connection has expired or holds unexpected bytes")

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// budget limits the bytes that are read before the body of the response.
	budget *readBudget
	// lateRead is set if data was read after the deadline.
	lateRead bool
	// silence ends reads before readDeadline. It is only valid together with that.
	silence      SilenceCheck
	readDeadline time.Time
	// known is what the target has shown of its start on all connections.
	known *knownStart
	// startUnixMilli is the start of the target to which the connection leads, zero if that is not known. startTold is set if the target has
	// told it on this connection.
	startUnixMilli int64
	startTold      bool
	// emptyAt is an instant at which everything that had arrived was read. answered is set if anything was read.
	emptyAt  boottime.Instant
	answered bool
	// reused is set if the connection has carried a request before.
	reused bool
	// idleDeadline is when the idle connection must no longer be reused, because the target may close it. It is zero until the
	// first response.
	idleDeadline time.Time
	// writeDone is closed when a background write of a request has ended. It is nil if the request was written synchronously.
	writeDone chan struct{}
	// writeErr is the error of the background write. It may be read after writeDone is closed.
	writeErr error
}

// newConn wraps a network connection that was opened after the given instant.
func newConn(netConn net.Conn, known *knownStart, dialedAt boottime.Instant) *conn {
	opened := &conn{Conn: netConn, known: known, emptyAt: dialedAt}
	opened.budget = &readBudget{reader: opened}
	opened.reader = bufio.NewReaderSize(opened.budget, readBufferSize)
	return opened
}

// Read reads from the connection. The first read after a deadline returns the data that has arrived until then. Further ones fail, so
// that a target that keeps sending does not outlast its deadline. What has arrived shows that the target ran: since the connection was last seen
// empty, as this process may read late.
func (c *conn) Read(p []byte) (int, error) {
	began := c.known.now()
	n, err := c.readInTime(p)
	if n > 0 {
		c.answered = true
		c.known.recordAlive(c.startUnixMilli, c.emptyAt)
	}
	if n < len(p) {
		c.emptyAt = began
	}
	return n, err
}

// readInTime reads from the connection, as Read does.
func (c *conn) readInTime(p []byte) (int, error) {
	if c.lateRead {
		return c.Conn.Read(p)
	}
	n, late, err := latedata.Read(c.Conn, p)
	for c.silence.GoOn != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		askAgainAt := c.silence.GoOn()
		if askAgainAt.IsZero() {
			break
		}
		if err := c.limitRead(SilenceCheck{At: askAgainAt, GoOn: c.silence.GoOn}, c.readDeadline); err != nil {
			return 0, err
		}
		n, late, err = latedata.Read(c.Conn, p)
	}
	if late && c.silence.GoOn != nil {
		return n, c.limitRead(SilenceCheck{}, c.readDeadline) // The target was not silent.
	}
	c.lateRead = late
	return n, err
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	c.lateRead, c.silence = false, SilenceCheck{}
	return c.Conn.SetDeadline(deadline)
}

// limitRead sets the deadline of reads, and a check that may end them before.
func (c *conn) limitRead(check SilenceCheck, deadline time.Time) error {
	c.lateRead, c.silence, c.readDeadline = false, SilenceCheck{}, deadline
	if check.appliesBefore(deadline) {
		c.silence = check
		return c.SetReadDeadline(check.At)
	}
	return c.SetReadDeadline(deadline)
}

// checkReusable returns an error if an idle connection cannot carry another request. It peeks into the socket without blocking:
// unexpected bytes would be taken for the next response, and the end of the stream means that the target closed the connection.
func (c *conn) checkReusable(now time.Time) error {
	if c.reader.Buffered() > 0 || !c.idleDeadline.IsZero() && !now.Before(c.idleDeadline) {
		return errNotReusable
	}
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return err
	}
	began := c.known.now()
	n, peekErr := 0, error(nil)
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return err
	case errors.Is(peekErr, syscall.EAGAIN):
		c.emptyAt = began
		return nil
	case peekErr != nil:
		return peekErr
	case n == 0:
		return io.EOF
	}
	return errNotReusable
}

// recordFailure records the error with which the connection ended. A target resets connections that are too many before it answers on them, so
// only a connection on which it has answered shows that it may have ended.
func (c *conn) recordFailure(err error) {
	if c.answered && isEndOfTarget(err) {
		c.known.recordEnd()
	}
}

// send writes a request and returns the number of bytes written. A request longer than maxSyncWrite is written by a goroutine,
// and send returns its length at once: a target may respond before it has read a long request, so its response must be read
// meanwhile. The first bytes of the body are appended to the head, and the rest is written from the body itself, so that a large body is not
// copied. It calls releaseBuffer with the head when the write has ended.
func (c *conn) send(head, body []byte, releaseBuffer func([]byte)) (int, error) {
	c.writeDone, c.writeErr = nil, nil
	length := len(head) + len(body)
	joined := min(len(body), max(maxSyncWrite-len(head), 0))
	head = append(head, body[:joined]...)
	rest := body[joined:]
	if length <= maxSyncWrite {
		n, err := c.Write(head)
		releaseBuffer(head)
		return n, err
	}
	done := make(chan struct{})
	c.writeDone = done
	go func() {
		defer close(done)
		if _, c.writeErr = c.Write(head); c.writeErr == nil && len(rest) > 0 {
			_, c.writeErr = c.Write(rest)
		}
		releaseBuffer(head)
	}()
	return length, nil
}

// wasReset reports whether the target has reset a connection whose bytes have ended. The kernel reports a reset to one call only: if that is the
// background write, reads see a plain end. If the state of the connection is not known, an incomplete write counts as a reset.
func (c *conn) wasReset() bool {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return !c.requestWritten()
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	if rawConn.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return !c.requestWritten()
	}
	return info.State == unix.BPF_TCP_CLOSE
}

// maxSyncWrite is the size in bytes up to which a request is written synchronously, as it fits into the socket buffers.
const maxSyncWrite = 8 << 10

// requestWritten reports whether no background write of the request is running or has failed. The error of a synchronous write
// is returned by send instead.
func (c *conn) requestWritten() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
		return false
	}
}
