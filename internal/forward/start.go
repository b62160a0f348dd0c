package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// startTimeout limits the time to ask a target for its start.
	startTimeout = 400 * time.Millisecond
	// maxStartBytes is the maximum size of the answer.
	maxStartBytes = 64 << 10
)

// errNoStart says that the answer of a target does not tell its start on a connection that can be used further.
var errNoStart = errors.New("the answer does not tell the start of the target")

// OtherStartError reports a target that has started again since its record was read. What is known of it holds for the earlier start.
type OtherStartError struct {
	// Known is the start in the record, Reported the one that the target names, in Unix milliseconds.
	Known, Reported int64
}

// Error returns both starts.
func (e *OtherStartError) Error() string {
	return fmt.Sprintf("the target started at %d, its record is of the start at %d", e.Reported, e.Known)
}

// UnknownStartError reports a target that did not tell its start.
type UnknownStartError struct {
	// Cause is the underlying error.
	Cause error
}

// Error returns the cause.
func (e *UnknownStartError) Error() string {
	return fmt.Sprintf("the start of the target is not known: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownStartError) Unwrap() error { return e.Cause }

// startOf returns what a target has shown of its start.
func (c *Client) startOf(dest endpoint) *knownStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.starts[dest]
	if !found {
		known = &knownStart{now: c.now}
		c.starts[dest] = known
	}
	return known
}

// mustAskStart reports whether the target must tell its start on the connection before the attempt may use it.
func (c *conn) mustAskStart(attempt *Attempt) bool {
	switch {
	case attempt.StartUnixMilli == 0:
		return false
	case c.startUnixMilli == attempt.StartUnixMilli:
		return attempt.StartRequired && !c.startTold
	}
	return attempt.StartRequired || c.startUnixMilli != 0 || !c.known.isUntold()
}

// checkStart returns a connection to the start of the target that the attempt requires. The target names its start on this very connection, so
// that whatever is sent on it next reaches the same process, unless it is known which start runs: no other one can have begun since. It closes the
// given connection if that leads to another start.
func (c *Client) checkStart(ctx context.Context, candidate *conn, dest endpoint, attempt *Attempt) (*conn, error) {
	if candidate.startUnixMilli == 0 {
		candidate.startUnixMilli = candidate.known.current()
	}
	if !candidate.mustAskStart(attempt) {
		return candidate, nil
	}
	askedAt := c.now()
	reported, err := candidate.askStart(ctx, c.codec, attempt.Deadline)
	if err == nil {
		candidate.known.recordTold(reported, askedAt)
	}
	if err == nil && reported == attempt.StartUnixMilli {
		candidate.startUnixMilli, candidate.startTold = reported, true
		return candidate, nil
	}
	_ = candidate.Close()
	switch {
	case err == nil:
		return nil, &OtherStartError{Known: attempt.StartUnixMilli, Reported: reported}
	case attempt.StartRequired || ctx.Err() != nil:
		return nil, &UnknownStartError{Cause: err}
	}
	candidate.known.recordUntold()
	return c.dial(ctx, dest)
}

// askStart asks the target for its start.
func (c *conn) askStart(ctx context.Context, codec Codec, deadline time.Time) (int64, error) {
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stopCancel()
	if err := c.SetDeadline(earliest(time.Now().Add(startTimeout), deadline)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", codec.StartURI(), c.RemoteAddr()); err != nil {
		return 0, err
	}
	c.budget.limit(maxStartBytes)
	defer c.budget.unlimit()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || response.Close || !strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		return 0, errNoStart
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if c.reader.Buffered() > 0 {
		return 0, errNoStart
	}
	return codec.ParseStart(body)
}
