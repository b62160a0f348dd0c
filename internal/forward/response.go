package forward

import (
	"io"
	"net/http"
	"time"
)

// minStatus and maxStatus limit the valid status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// Response is the response of a target. It is not safe for concurrent use.
type Response struct {
	// StatusCode is the HTTP status code.
	StatusCode int
	// Header holds the headers as the target sent them.
	Header http.Header
	// ContentLength is the length of the body in bytes, -1 if it is not known.
	ContentLength int64
	// Framing tells what ends the body.
	Framing Framing
	// Info is what the status and headers say about the request, as interpreted by the codec.
	Info ResponseInfo

	client          *Client
	conn            *conn
	endpoint        endpoint
	stopCancel      func() bool
	body            io.ReadCloser
	connectionClose bool
	bodyComplete    bool
	closed          bool
}

// readHead reads the head of the response to an attempt. It skips informational responses, and up to maxSkippedResponses
// responses to earlier requests, which a target may send late. All of it must have maxHeadBytes at most, and each header maxHeaderBytes in
// maxHeaderLines lines.
func (r *Response) readHead(attempt *Attempt) error {
	r.conn.budget.limit(maxHeadBytes)
	defer r.conn.budget.unlimit()
	request := &http.Request{Method: attempt.Method}
	for skipped := 0; ; {
		response, err := http.ReadResponse(r.conn.reader, request) //nolint:bodyclose // Response.Close keeps or closes the connection.
		if err != nil {
			r.conn.recordFailure(err)
			return err
		}
		if err := checkHeader(response.Header); err != nil {
			return err
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return &InvalidStatusError{Status: response.StatusCode}
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		info := r.client.codec.Classify(attempt.ID, response.StatusCode, response.Header)
		if !info.Unmatched {
			r.StatusCode, r.Header, r.ContentLength = response.StatusCode, response.Header, response.ContentLength
			r.Framing = framingOf(response)
			r.Info, r.body, r.connectionClose = info, response.Body, response.Close
			return nil
		}
		skipped++
		if skipped > maxSkippedResponses || response.Close {
			return &UnmatchedResponsesError{Count: skipped}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// Read reads from the body. It returns io.EOF only after the complete body, as far as its framing shows: a body that ends with its
// connection may lack a part, unless that was reset. Then the error is a *ResetError.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF && r.Framing == FramedByConnection && r.conn.wasReset() {
		err = &ResetError{}
	}
	if err == io.EOF {
		r.bodyComplete = true
	} else if err != nil {
		r.conn.recordFailure(err)
	}
	return n, err
}

// LimitRead makes reads fail after dataDeadline, if it is not zero, or after deadline, whichever is earlier, or when the check ends the attempt. If
// the deadline cannot be set, the connection is closed and the next read fails.
func (r *Response) LimitRead(check SilenceCheck, dataDeadline, deadline time.Time) {
	if err := r.conn.limitRead(check, earliest(dataDeadline, deadline)); err != nil {
		r.abort()
	}
}

// Close ends the attempt. The connection is kept for reuse if the complete request was written, the complete response was read,
// nothing follows it, and the target does not leave. Otherwise it is closed, so that the target can stop working on the request. Further calls do nothing.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.bodyComplete || r.connectionClose || r.Info.Leaving || !r.conn.requestWritten() || r.conn.reader.Buffered() > 0 || !r.stopCancel() {
		r.abort()
		return
	}
	now := time.Now()
	r.conn.idleDeadline = idleDeadline(now, r.Header)
	if !now.Before(r.conn.idleDeadline) || r.conn.SetDeadline(time.Time{}) != nil {
		r.abort()
		return
	}
	r.client.putIdle(r.endpoint, r.conn)
}

// abort closes the connection and stops watching the context.
func (r *Response) abort() {
	r.stopCancel()
	_ = r.conn.Close()
}
