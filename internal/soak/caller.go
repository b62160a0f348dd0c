package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callTimeout is how long a caller waits for the end of an answer.
const callTimeout = 4 * time.Second

// Call is one request with what its caller has seen.
type Call struct {
	ID, Path string
	Router   int
	// SentAt and EndedAt are times since the start of the schedule.
	SentAt, EndedAt time.Duration
	// Status is 0 if there was no answer, AnswerID the request that the answer names.
	Status         int
	AnswerID, Body string
	// Complete is set if the answer was whole.
	Complete bool
}

// caller sends requests one after the other and keeps its connection as long as the router does.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends the request of a call and records the answer.
func (c *caller) send(call *Call) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if !c.exchange(call) {
		c.close()
	}
}

// exchange sends a request and reads the answer. It reports whether the connection can be used again.
func (c *caller) exchange(call *Call) bool {
	if c.conn.SetDeadline(time.Now().Add(callTimeout)) != nil {
		return false
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Credential: %s\r\nContent-Length: 1\r\n\r\nx",
		call.Path, call.ID, apiKey)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	call.Status, call.AnswerID = response.StatusCode, response.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(response.Body)
	call.Body, call.Complete = string(body), err == nil
	return err == nil && !response.Close
}

// close ends the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // The router may have closed it.
		c.conn = nil
	}
}
