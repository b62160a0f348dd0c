package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection; a round trip between regions takes some 25 ms.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout bounds how long sent bytes may stay without an acknowledgement.
	ackTimeout = 2 * time.Second
	// idleMargin is how long before the target's idle time-out a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// idleSpan is how long an idle connection is kept if the target tells no time-out.
	idleSpan = 8 * time.Second
	// idlePerTarget bounds the idle connections to one target.
	idlePerTarget = 64
	// strayAnswers is the number of answers to other requests that are skipped on one connection.
	strayAnswers = 2
)

// destination is one start of a target at an address.
type destination struct {
	target, address string
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	codec   Codec
	dialer  net.Dialer
	buffers sync.Pool

	mu   sync.Mutex
	idle map[destination][]*conn
}

// NewClient returns a client that reads the headers of targets with the codec.
func NewClient(codec Codec) *Client {
	return &Client{
		codec:   codec,
		dialer:  net.Dialer{Timeout: dialTimeout, Control: control},
		buffers: sync.Pool{New: func() any { return new([]byte) }},
		idle:    make(map[destination][]*conn),
	}
}

// control makes a socket report a peer that no longer acknowledges.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Send sends a request and returns the head of the answer, whose body the caller reads and closes. The error is an
// *UnsentError if the target received nothing, else a *BrokenError. The end of the context closes the connection, by
// which the target learns that its work is not needed any more.
func (c *Client) Send(ctx context.Context, attempt Attempt) (*Response, error) {
	to := destination{target: attempt.Target, address: attempt.Address}
	used, err := c.connect(ctx, to)
	if err != nil {
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	release := context.AfterFunc(ctx, func() { _ = used.Close() })
	answer := &Response{client: c, conn: used, to: to, release: release}
	if err := used.SetDeadline(earliest(attempt.HeaderDeadline, attempt.Deadline)); err != nil {
		answer.abort()
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	buffer, _ := c.buffers.Get().(*[]byte)
	request := encode((*buffer)[:0], &attempt)
	written, err := used.send(request, func(written []byte) {
		*buffer = written
		c.buffers.Put(buffer)
	})
	if err != nil && written == 0 {
		answer.abort()
		return nil, &UnsentError{Target: attempt.Target, Cause: err}
	}
	if err := answer.head(&attempt); err != nil {
		answer.abort()
		return nil, &BrokenError{Target: attempt.Target, Cause: err}
	}
	if !attempt.HeaderDeadline.IsZero() {
		answer.SetReadDeadline(attempt.Deadline, attempt.Deadline)
	}
	return answer, nil
}

// earliest returns the earlier one of two instants, of which the first may be zero.
func earliest(first, second time.Time) time.Time {
	if !first.IsZero() && first.Before(second) {
		return first
	}
	return second
}

// connect returns a sound kept connection or opens one.
func (c *Client) connect(ctx context.Context, to destination) (*conn, error) {
	now := time.Now()
	for {
		kept := c.take(to)
		if kept == nil {
			break
		}
		if kept.check(now) == nil {
			return kept, nil
		}
		_ = kept.Close()
	}
	socket, err := c.dialer.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, err
	}
	return newConn(socket), nil
}

// take returns the kept connection that was used last, nil if there is none.
func (c *Client) take(to destination) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[to]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[to] = kept[:len(kept)-1]
	return last
}

// keep returns a connection for the next request.
func (c *Client) keep(to destination, used *conn) {
	used.kept = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= idlePerTarget {
		_ = used.Close()
		return
	}
	c.idle[to] = append(c.idle[to], used)
}

// Prune closes idle connections that are too old, and all idle ones to targets that are gone. A target is present if it
// is the name of a key.
func (c *Client) Prune(now time.Time, present map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, kept := range c.idle {
		var left []*conn
		for _, each := range kept {
			if present[to.target] && now.Before(each.until) {
				left = append(left, each)
			} else {
				_ = each.Close()
			}
		}
		if len(left) == 0 {
			delete(c.idle, to)
		} else {
			c.idle[to] = left
		}
	}
}

// IdleConns returns the number of idle connections.
func (c *Client) IdleConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, kept := range c.idle {
		count += len(kept)
	}
	return count
}

// idleUntil returns the instant until which a connection may be kept after an answer with the header.
func idleUntil(now time.Time, header http.Header) time.Time {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return now.Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
	return now.Add(idleSpan)
}
