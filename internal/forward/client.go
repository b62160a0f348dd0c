package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

const (
	// idleMargin is how long before the target's idle timeout a connection is no longer reused.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept idle if the target does not announce a timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxIdleConnsPerTarget limits the idle connections to one target.
	maxIdleConnsPerTarget = 64
	// maxSkippedResponses is how many responses to other requests may precede the one that is read. With more, the attempt fails.
	maxSkippedResponses = 2
)

// endpoint identifies a target at an address. Idle connections are only reused for the same name and address.
type endpoint struct {
	target, address string
}

// Client sends requests to targets over HTTP/1.1 and keeps idle connections for reuse. It is safe for concurrent use.
type Client struct {
	codec   Codec
	dialer  *targetDialer
	buffers sync.Pool

	now func() boottime.Instant

	mu   sync.Mutex
	idle map[endpoint][]*conn
	// starts holds what targets have shown of their starts.
	starts map[endpoint]*knownStart
}

// NewClient returns a client that interprets responses with the codec.
func NewClient(codec Codec) *Client {
	return &Client{
		codec:   codec,
		dialer:  newTargetDialer(),
		buffers: sync.Pool{New: func() any { return new([]byte) }},
		now:     boottime.Now,
		idle:    make(map[endpoint][]*conn),
		starts:  make(map[endpoint]*knownStart),
	}
}

// Send sends a request and returns the response once its head has arrived. The caller must read and close the response. The error
// is an *UnsentError if the target received nothing, and an *OutcomeUnknownError if it may have received the request. When ctx is
// done, the connection is closed, so that the target can stop working on the request.
func (c *Client) Send(ctx context.Context, attempt Attempt) (*Response, error) {
	dest := endpoint{target: attempt.Target, address: attempt.Address}
	targetConn, err := c.acquire(ctx, dest, &attempt)
	if err != nil {
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = targetConn.Close() })
	response := &Response{client: c, conn: targetConn, endpoint: dest, stopCancel: stopCancel}
	err = targetConn.SetWriteDeadline(attempt.Deadline)
	if err == nil {
		err = targetConn.limitRead(attempt.Silence, earliest(attempt.HeaderDeadline, attempt.Deadline))
	}
	if err != nil {
		response.abort()
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	buffer, _ := c.buffers.Get().(*[]byte)
	head := appendHead((*buffer)[:0], &attempt)
	written, err := targetConn.send(head, attempt.Body, func(encoded []byte) {
		*buffer = encoded
		c.buffers.Put(buffer)
	})
	if err != nil && written == 0 {
		targetConn.recordFailure(err)
		response.abort()
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	if err := response.readHead(&attempt); err != nil {
		response.abort()
		return nil, &OutcomeUnknownError{Target: attempt.Target, Cause: err}
	}
	if !attempt.HeaderDeadline.IsZero() || attempt.Silence.GoOn != nil {
		response.LimitRead(SilenceCheck{}, attempt.Deadline, attempt.Deadline)
	}
	return response, nil
}

// Probe opens a connection to a target and keeps it for reuse. It returns the error if the target accepts no connection,
// a *LateDialError if that is not known.
func (c *Client) Probe(ctx context.Context, target, address string) error {
	dest := endpoint{target: target, address: address}
	opened, err := c.dial(ctx, dest)
	if err != nil {
		return err
	}
	opened.idleDeadline = time.Now().Add(defaultIdleTimeout)
	c.putIdle(dest, opened)
	return nil
}

// earliest returns the earlier of two instants. If the first is zero, it returns the second.
func earliest(first, second time.Time) time.Time {
	if !first.IsZero() && first.Before(second) {
		return first
	}
	return second
}

// acquire returns a reusable idle connection to the start that the attempt requires, or opens a new one if there is none.
func (c *Client) acquire(ctx context.Context, dest endpoint, attempt *Attempt) (*conn, error) {
	now := time.Now()
	for {
		idle := c.popIdle(dest, attempt.StartUnixMilli)
		if idle == nil {
			break
		}
		if err := idle.checkReusable(now); err != nil {
			idle.recordFailure(err)
			_ = idle.Close()
			continue
		}
		checked, err := c.checkStart(ctx, idle, dest, attempt)
		var unknown *UnknownStartError
		if !errors.As(err, &unknown) {
			return checked, err
		}
		break // The target may have closed the connection; a new one tells.
	}
	opened, err := c.dial(ctx, dest)
	if err != nil {
		return nil, err
	}
	return c.checkStart(ctx, opened, dest, attempt)
}

// dial opens a connection to a target.
func (c *Client) dial(ctx context.Context, dest endpoint) (*conn, error) {
	known, dialedAt := c.startOf(dest), c.now()
	socket, err := c.dialer.dial(ctx, dest.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		known.recordEnd()
	}
	if err != nil {
		return nil, err
	}
	return newConn(socket, known, dialedAt), nil
}

// popIdle removes and returns the most recently used idle connection, or nil if there is none. Connections on which the target has told the
// given start go first, if it is not zero.
func (c *Client) popIdle(dest endpoint, startUnixMilli int64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[dest]
	best := len(conns) - 1
	if best < 0 {
		return nil
	}
	for i := best; startUnixMilli != 0 && i >= 0; i-- {
		if conns[i].startUnixMilli == startUnixMilli {
			best = i
			break
		}
	}
	found := conns[best]
	c.idle[dest] = slices.Delete(conns, best, best+1)
	return found
}

// putIdle keeps a connection for reuse, or closes it if there are enough idle ones.
func (c *Client) putIdle(dest endpoint, released *conn) {
	released.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[dest]) >= maxIdleConnsPerTarget {
		_ = released.Close()
		return
	}
	c.idle[dest] = append(c.idle[dest], released)
}

// Prune closes the idle connections whose idle deadline has passed, and those to targets that are not in present, which holds the
// names of the current targets.
func (c *Client) Prune(now time.Time, present map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for dest, conns := range c.idle {
		var remaining []*conn
		for _, idleConn := range conns {
			if present[dest.target] && now.Before(idleConn.idleDeadline) {
				remaining = append(remaining, idleConn)
			} else {
				_ = idleConn.Close()
			}
		}
		if len(remaining) == 0 {
			delete(c.idle, dest)
		} else {
			c.idle[dest] = remaining
		}
	}
	maps.DeleteFunc(c.starts, func(dest endpoint, _ *knownStart) bool { return !present[dest.target] })
}

// IdleConns returns the number of idle connections to all targets.
func (c *Client) IdleConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, conns := range c.idle {
		count += len(conns)
	}
	return count
}

// idleDeadline returns the instant until which a connection may be reused after a response with the header, as given by the
// timeout parameter of Keep-Alive.
func idleDeadline(now time.Time, header http.Header) time.Time {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return now.Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
	return now.Add(defaultIdleTimeout)
}
