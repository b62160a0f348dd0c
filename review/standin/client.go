package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// lastID numbers the attempts of all clients.
var lastID atomic.Int64

// attempt is one request of a client with what came of it.
type attempt struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int
	seal    string
	body    []byte
	err     error
	// closing is set if the answer says that the channel ends.
	closing bool
	// reused is set if the channel has carried a request before.
	reused bool
}

// client keeps one channel to a router.
type client struct {
	w       *world
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

// request is what a client sends.
type request struct {
	method, path, key string
	deadline          time.Duration
	header            string
	body              []byte
}

const hostName = "ficu95.example"

// do sends a request and reads the answer.
func (c *client) do(q request) attempt {
	a := attempt{id: fmt.Sprintf("%016x", lastID.Add(1)), reused: c.used}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.sentAt, a.endedAt, a.err = time.Now(), time.Now(), err
			return a
		}
		c.conn, c.reader, c.used, a.reused = conn, bufio.NewReader(conn), false, false
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", q.method, q.path, hostName, a.id,
		q.deadline.Milliseconds(), q.header)
	if q.key != "" {
		fmt.Fprintf(&head, "X-Credential: %s\r\n", q.key)
	}
	if q.body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	head.Write(q.body)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	a.sentAt = time.Now()
	_, a.err = c.conn.Write(head.Bytes())
	if a.err == nil {
		a.err = c.read(&a, q.method)
	}
	a.endedAt = time.Now()
	c.used = true
	if a.err != nil || a.closing {
		c.close()
	}
	return a
}

// read reads the answer to an attempt.
func (c *client) read(a *attempt, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	a.status, a.seal, a.closing = response.StatusCode, response.Header.Get("X-Replica-Seal"), response.Close
	a.body, err = io.ReadAll(response.Body)
	return err
}

// close ends the channel.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// timedOut reports whether the client gave up at its deadline.
func (a *attempt) timedOut() bool {
	var timeout net.Error
	return errors.As(a.err, &timeout) && timeout.Timeout()
}
