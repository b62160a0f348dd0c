package gateway

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/latedata"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// callerConn is a connection of a caller. Its first request may be refused by the load shedder.
type callerConn struct {
	// acceptedConn holds the connection. mu protects its awaitedSince.
	acceptedConn
	shedder     *loadShedder
	cuts        *cutLog
	closedConns *closedConns
	readStarted bool
	// handovers is told when the process begins to handle the connection, and how long its request has waited to be accepted.
	handovers *handovers
	// handedOver is set if another router has handed the connection over.
	handedOver bool

	mu sync.Mutex
	// received is the number of bytes of the current request that were read, receivedSince the time of the first ones. answered is
	// set from the first byte of its answer on, writeErr is the first error of a write of that answer.
	received      int
	receivedSince time.Time
	writeErr      error
	// requestID is the ID of the current request, awaitedUntil the time until which its caller waits for the answer. Both are zero until its head
	// was parsed.
	requestID    string
	awaitedUntil time.Time
	// unread is how long the current request may have waited until it was read, zero until its head was parsed.
	unread time.Duration
	// writeDeadline is the deadline of the last write of the current answer, lastWriteAt the time at which that began. Both are zero before the first
	// one. The HTTP server removes the deadline after the answer.
	writeDeadline, lastWriteAt time.Time
	answered                   bool
	// sentBefore is set if the first request was there before this process read the connection. waitingSince is then the time from which its
	// caller may have waited.
	sentBefore   bool
	waitingSince time.Time
	// keepAlive is how long the connection stays open after the current answer, as announced in its head, zero if that announces nothing.
	keepAlive time.Duration
	// endingSince is the time of the last call that made the connection end unless data has arrived, endReason why. endingSince is zero if data has
	// arrived.
	endingSince time.Time
	endReason   metric.IdleCloseReason
	// readErr is the error of the last read.
	readErr error
	closed  bool
	// isServedAgain is set if the connection was closed as idle, but a request had arrived and another callerConn serves it.
	isServedAgain bool
}

// Read reads from the connection. Data that has arrived is returned even if the read deadline has passed: the process may have had no
// processor time to read it before. Read returns io.EOF if the load shedder has refused the first request.
func (c *callerConn) Read(p []byte) (int, error) {
	if !c.readStarted {
		c.readStarted = true
		if err := c.startRead(); err != nil {
			return 0, err
		}
	}
	n, _, err := latedata.Read(c.TCPConn, p)
	c.recordRead(n, err)
	return n, err
}

// startRead records how late the connection is read, and does what precedes its first request. It returns io.EOF if the load shedder has refused that.
func (c *callerConn) startRead() error {
	c.handovers.connStarted(c.acceptedAt)
	isOverloaded := c.shedder.connStarted(c.acceptedAt) // Later, the time until the request comes would count as well.
	lookedAt, isEarly := time.Now(), hasData(c.TCPConn)
	if c.handedOver {
		isConfirmed, err := confirmHandover(c.TCPConn)
		if err != nil {
			return err
		}
		if isConfirmed {
			lookedAt, isEarly = time.Now(), hasData(c.TCPConn) // What was there before may have been the mark.
		}
	}
	if err := c.recordWait(lookedAt, isEarly); err != nil {
		return err
	}
	if isOverloaded && c.shedder.refuseFirstRequest(c.TCPConn) {
		return io.EOF
	}
	return nil
}

// recordWait records from when on the caller of the first request may have waited: a late process reads requests that came long before.
// The router that has handed the connection over tells how long that was there. isEarly is set if data of the request was there at lookedAt.
func (c *callerConn) recordWait(lookedAt time.Time, isEarly bool) error {
	waited := time.Duration(0)
	if c.handedOver {
		var err error
		if waited, err = readWait(c.TCPConn); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isEarly {
		c.sentBefore, c.waitingSince = true, c.handovers.requestArrival(c.acceptedConn).Add(-waited)
		return nil
	}
	c.awaitedSince = lookedAt // The caller may open a connection long before it sends a request.
	if waited > 0 {
		c.sentBefore, c.waitingSince = true, c.handovers.readSince(lookedAt).Add(-waited)
	}
	return nil
}

// requestStart returns the time from which the caller of the current request may have waited, zero if nothing of it was read.
func (c *callerConn) requestStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentBefore {
		return c.waitingSince
	}
	if c.received == 0 {
		return time.Time{}
	}
	return c.receivedSince
}

// recordRead records the outcome of a read.
func (c *callerConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.received == 0 {
		c.receivedSince = c.handovers.readSince(c.awaitedSince)
	}
	c.received += n
	if n > 0 && !c.endingSince.IsZero() {
		c.endingSince = time.Time{}
		_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout)) // On a broken connection, the next read fails as well.
	}
	c.readErr = err
}

// minWriteTime is how long a write waits at least for a caller that does not read.
const minWriteTime = time.Second

// Write writes a part of an answer. It waits for a caller that does not read until that leaves, and for minWriteTime at least: an answer that is
// ready at the deadline of its request, or late, is sent nevertheless.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.startWrite(time.Now()); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Write(p)
	c.recordWrite(n, err)
	return n, err
}

// ReadFrom writes what it reads from a source. It hides the method of the TCP connection, which would not extend the deadline.
func (c *callerConn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// startWrite records a write that begins now. It sets its deadline, unless the one of an earlier write leaves enough time: most writes are single
// events of streams.
func (c *callerConn) startWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWriteAt = now
	shortest := now.Add(minWriteTime)
	if !c.writeDeadline.Before(shortest) {
		return nil
	}
	c.writeDeadline = c.awaitedUntil
	if c.awaitedUntil.Before(shortest) {
		c.writeDeadline = shortest
	}
	return c.SetWriteDeadline(c.writeDeadline)
}

// recordWrite records the outcome of a write.
func (c *callerConn) recordWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// requestParsed records the ID of the current request, the time until which its caller waits for the answer, and how long the request may have
// waited until it was read.
func (c *callerConn) requestParsed(id string, awaitedUntil time.Time, unread time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID, c.awaitedUntil, c.unread = id, awaitedUntil, unread
}

// awaitRequest records that the last request has ended. Its caller may have sent the next one once it had the whole answer.
func (c *callerConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitedSince = cmp.Or(c.lastWriteAt, time.Now())
	c.received, c.answered, c.sentBefore = 0, false, false
	c.writeErr, c.requestID, c.awaitedUntil, c.unread = nil, "", time.Time{}, 0
	c.writeDeadline, c.lastWriteAt = time.Time{}, time.Time{}
}

// announceKeepAlive records how long the connection stays open after the current answer, as announced in its head.
func (c *callerConn) announceKeepAlive(keepAlive time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive = keepAlive
}

// announcedKeepAlive returns how long the connection stays open after the last answer, as announced in its head. It is the default idle timeout if
// that announced nothing.
func (c *callerConn) announcedKeepAlive() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.keepAlive, defaultIdleTimeout)
}

// endRepeatInterval is the minimum time between attempts to end a connection.
const endRepeatInterval = 50 * time.Millisecond

// endIfIdle ends the connection if nothing of a request has arrived, read or not: its read fails if it finds no data, so that the
// HTTP server closes the connection. The server may replace the deadline when it begins to wait, so a connection that stays idle
// needs a further call. Calls within endRepeatInterval of the last one have no effect.
func (c *callerConn) endIfIdle(now time.Time, reason metric.IdleCloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == 0 && now.Sub(c.endingSince) >= endRepeatInterval {
		c.endingSince, c.endReason = now, reason
		_ = c.SetReadDeadline(time.Now()) // On a broken connection, the read fails anyway.
	}
}

// Close closes the connection. It logs if the caller waits for the answer to a request, or has got a part of one.
func (c *callerConn) Close() error {
	reason, isIdle := c.closeAsIdle()
	switch {
	case c.serveAgain(isIdle):
		return nil
	case isIdle:
		return c.closedConns.close(c.TCPConn, reason, time.Now())
	}
	c.logCut()
	return c.TCPConn.Close()
}

// closeAsIdle reports whether the connection is closed since it was told to end and its read has found no data, and why it was. Further calls report
// false.
func (c *callerConn) closeAsIdle() (reason metric.IdleCloseReason, isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.received > 0 || c.endingSince.IsZero() || !isTimeout(c.readErr) {
		return "", false
	}
	c.closed = true
	return c.endReason, true
}

// serveAgain has an idle connection served as a new one if a request has arrived on it since its read found none. It reports whether the connection
// is served, now or since an earlier call. A handed over connection is not: what arrives on it begins with what the other router says.
func (c *callerConn) serveAgain(isIdle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isIdle || c.handedOver || !hasData(c.TCPConn) {
		return c.isServedAgain
	}
	c.isServedAgain = true
	_ = c.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
	go c.handovers.keep(acceptedConn{TCPConn: c.TCPConn, acceptedAt: time.Now(), awaitedSince: c.awaitedSince})
	return true
}

// logCut logs that the connection is closed after bytes of a request have arrived, read or not, and before any of its answer, or after a part of
// the answer could not be written, unless the caller has left.
func (c *callerConn) logCut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	since := c.receivedSince
	if c.received == 0 {
		if !hasData(c.TCPConn) {
			return
		}
		since = c.acceptedAt
	}
	isAnswered := c.answered && c.writeErr == nil
	hasLeft := isDisconnect(c.readErr) || c.writeErr != nil && !isTimeout(c.writeErr)
	if isAnswered || hasLeft || isDisconnected(c.TCPConn) {
		return
	}
	now := time.Now()
	if c.cuts.allowLine(now) {
		event.RequestCut.Log(c.cuts.logger, c.received, now.Sub(since).Milliseconds(), c.readErr, c.requestID, c.answered, c.writeErr,
			c.unread.Milliseconds())
	}
}

// isDisconnect reports whether the error of a read says that the caller has left.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// maxCutLinesPerSecond is the maximum number of log lines per second about connections that were closed without an answer.
const maxCutLinesPerSecond = 20

// cutLog logs connections that the router closes without an answer to a request. It is safe for concurrent use.
type cutLog struct {
	logger zerolog.Logger

	mu sync.Mutex
	// currentSecond is the Unix time of the second in which linesInSecond connections were closed.
	currentSecond int64
	linesInSecond int
}

// allowLine reports whether a connection that is closed now may have a line, since there were not too many in this second.
func (l *cutLog) allowLine(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unixSecond := now.Unix(); unixSecond != l.currentSecond {
		l.currentSecond, l.linesInSecond = unixSecond, 0
	}
	l.linesInSecond++
	return l.linesInSecond <= maxCutLinesPerSecond
}
