package forward

import (
	"io"
	"net/http"
	"time"
)

// Response is the answer of a target.
type Response struct {
	// StatusCode is the status code.
	StatusCode int
	// Header holds the headers as the target sent them.
	Header http.Header
	// ContentLength is the length of the body in bytes, -1 if the target did not tell it.
	ContentLength int64
	// Info is what the head says about the request.
	Info ResponseInfo

	client  *Client
	conn    *conn
	to      destination
	release func() bool
	body    io.ReadCloser
	last    bool
	ended   bool
	closed  bool
}

// head reads the head of the answer to an attempt. Answers to earlier requests, which a target may send late, are
// skipped.
func (a *Response) head(attempt *Attempt) error {
	request := &http.Request{Method: attempt.Method}
	for stray := 0; ; {
		response, err := http.ReadResponse(a.conn.reader, request) //nolint:bodyclose // Close of the answer ends the body with its connection.
		if err != nil {
			return err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		verdict := a.client.codec.Classify(attempt.ID, response.StatusCode, response.Header)
		if !verdict.Foreign {
			a.StatusCode, a.Header, a.ContentLength = response.StatusCode, response.Header, response.ContentLength
			a.Info, a.body, a.last = verdict, response.Body, response.Close
			return nil
		}
		stray++
		if stray > strayAnswers || response.Close {
			return &ForeignError{Answers: stray}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// Read reads the body. It returns io.EOF only after the whole body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// SetReadDeadline sets the instant until which the next part of the body must arrive, at most the deadline. A connection that
// takes no deadline fails at the next read.
func (a *Response) SetReadDeadline(next, deadline time.Time) {
	if err := a.conn.SetDeadline(earliest(next, deadline)); err != nil {
		a.abort()
	}
}

// Close ends the attempt. The connection is kept if it carried the whole answer and nothing else; otherwise it is
// closed, by which the target learns that its work is not needed any more. Further calls do nothing.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.ended || a.last || !a.conn.complete() || a.conn.reader.Buffered() > 0 || !a.release() {
		a.abort()
		return
	}
	now := time.Now()
	a.conn.until = idleUntil(now, a.Header)
	if !now.Before(a.conn.until) || a.conn.SetDeadline(time.Time{}) != nil {
		a.abort()
		return
	}
	a.client.keep(a.to, a.conn)
}

// abort closes the connection.
func (a *Response) abort() {
	a.release()
	_ = a.conn.Close()
}
