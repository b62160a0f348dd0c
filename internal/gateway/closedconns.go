package gateway

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
)

const (
	// crossingTime is how long an idle connection that was closed for writing is watched for a request that was on its way.
	crossingTime = time.Second
	// watchedConnFraction is the fraction of the file descriptors that watched connections may use.
	watchedConnFraction = 0.02
)

// errCrossed is logged for a request that arrived after its connection had been closed for writing.
var errCrossed = errors.New("the request has crossed the end of its idle connection")

// closedConns closes idle connections of callers. It closes them for writing first and watches them for a while, so that requests which cross the close
// are counted. They cannot be answered, and are not read: the caller finds that the connection has ended without a byte of an answer, and HTTP lets it
// repeat only what is safe. It is safe for concurrent use.
type closedConns struct {
	metrics    *metric.Set
	cuts       *cutLog
	maxWatched int

	mu sync.Mutex
	// watched holds connections in the order in which they were closed for writing.
	watched []closedConn
}

// closedConn is a connection that is closed for writing. It is closed altogether at watchedUntil.
type closedConn struct {
	conn                   *net.TCPConn
	closedAt, watchedUntil time.Time
}

// newClosedConns returns an empty set for a process with a number of file descriptors.
func newClosedConns(metrics *metric.Set, logger zerolog.Logger, maxOpenFiles int) *closedConns {
	return &closedConns{
		metrics: metrics, cuts: &cutLog{logger: logger}, maxWatched: int(float64(maxOpenFiles) * watchedConnFraction),
	}
}

// close closes an idle connection. It is not watched if its descriptor is needed.
func (c *closedConns) close(conn *net.TCPConn, reason metric.IdleCloseReason, now time.Time) error {
	c.metrics.CountIdleClose(reason)
	if reason != metric.IdleNoDescriptor && c.watch(conn, now) {
		return nil
	}
	return conn.Close()
}

// watch closes a connection for writing and watches it. It reports false if too many are watched, or if the connection is broken.
func (c *closedConns) watch(conn *net.TCPConn, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.watched) >= c.maxWatched || conn.CloseWrite() != nil {
		return false
	}
	c.watched = append(c.watched, closedConn{conn, now, now.Add(crossingTime)})
	return true
}

// sweep closes the watched connections on which data has arrived, those that their callers have closed, and those that were watched for long enough.
func (c *closedConns) sweep(now time.Time) {
	c.closeIf(now, func(closed closedConn) bool {
		return now.After(closed.watchedUntil) || hasData(closed.conn) || isDisconnected(closed.conn)
	})
}

// closeAll closes all watched connections.
func (c *closedConns) closeAll(now time.Time) {
	c.closeIf(now, func(closedConn) bool { return true })
}

// closeIf closes the watched connections for which a condition holds, and counts those on which data has arrived.
func (c *closedConns) closeIf(now time.Time, isOver func(closedConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = slices.DeleteFunc(c.watched, func(closed closedConn) bool {
		if !isOver(closed) {
			return false
		}
		if hasData(closed.conn) {
			c.recordCrossing(closed, now)
		}
		_ = closed.conn.Close() // It was idle.
		return true
	})
}

// recordCrossing counts and logs a request that arrived after its connection had been closed for writing.
func (c *closedConns) recordCrossing(closed closedConn, now time.Time) {
	c.metrics.CountCrossedRequest()
	if c.cuts.allowLine(now) {
		event.RequestCut.Log(c.cuts.logger, 0, now.Sub(closed.closedAt).Milliseconds(), errCrossed, "", false, error(nil), 0)
	}
}
