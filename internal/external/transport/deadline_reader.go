package transport

import (
	"fmt"
	"io"
	"time"
)

// lateSendError is the error of a request that was not written before its deadline.
type lateSendError struct {
	deadline time.Time
}

// Error implements error.
func (e *lateSendError) Error() string {
	return fmt.Sprintf("the request was not sent by %s", e.deadline.Format(time.RFC3339Nano))
}

// deadlineReader is the body of a request that must not be sent after a deadline. Package net/http reads a body immediately before it
// writes the request, so a process that was paused since its last check fails here.
type deadlineReader struct {
	io.Reader
	deadline time.Time
}

// Read implements io.Reader.
func (r deadlineReader) Read(p []byte) (int, error) {
	if !time.Now().Before(r.deadline) {
		return 0, &lateSendError{deadline: r.deadline}
	}
	return r.Reader.Read(p)
}
