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
	// seenStartPeriod is how long a start that a target has told holds for further connections of requests that go to any target: a target
	// that crashes is away for longer.
	seenStartPeriod = time.Second
	// unknownStartPeriod is how long a target that did not tell its start is not asked again by requests that go to any start.
	unknownStartPeriod = 10 * time.Second
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

// seenStart is what a target has told of its start, zero if it did not tell it, and the time until which that holds.
type seenStart struct {
	startUnixMilli int64
	until          time.Time
}

// mustAskStart reports whether a connection on which the target has told the given start, or zero, must not be used by the attempt before the
// target tells its start again.
func (c *Client) mustAskStart(now time.Time, dest endpoint, attempt *Attempt, toldUnixMilli int64) bool {
	if attempt.StartUnixMilli == 0 || attempt.StartUnixMilli == toldUnixMilli {
		return false
	}
	if attempt.StartRequired {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, found := c.startsSeen[dest]
	return !found || !now.Before(seen.until) || seen.startUnixMilli != 0 && seen.startUnixMilli != attempt.StartUnixMilli
}

// checkStart returns a connection to the start of the target that the attempt requires: the target names its start on this very connection, so
// whatever is sent on it next reaches the same process. It closes the given connection if that leads to another start.
func (c *Client) checkStart(ctx context.Context, candidate *conn, dest endpoint, attempt *Attempt) (*conn, error) {
	if !c.mustAskStart(time.Now(), dest, attempt, candidate.startUnixMilli) {
		return candidate, nil
	}
	reported, err := candidate.askStart(ctx, c.codec, attempt.Deadline)
	if err == nil {
		c.recordStart(dest, seenStart{startUnixMilli: reported, until: time.Now().Add(seenStartPeriod)})
	}
	if err == nil && reported == attempt.StartUnixMilli {
		candidate.startUnixMilli = reported
		return candidate, nil
	}
	_ = candidate.Close()
	switch {
	case err == nil:
		return nil, &OtherStartError{Known: attempt.StartUnixMilli, Reported: reported}
	case attempt.StartRequired || ctx.Err() != nil:
		return nil, &UnknownStartError{Cause: err}
	}
	c.recordStart(dest, seenStart{until: time.Now().Add(unknownStartPeriod)})
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

// recordStart records what a target has told of its start.
func (c *Client) recordStart(dest endpoint, seen seenStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startsSeen[dest] = seen
}
