package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a client's connection to a router, kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openChannel connects to a router.
func openChannel(address string) (*channel, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there is no complete answer.
	err   error
	close bool
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	if a.err != nil {
		return fmt.Sprintf("%d, not complete (%v)", a.status, a.err)
	}
	return fmt.Sprintf("%d", a.status)
}

// do sends a request and waits for the answer until the client's patience ends.
func (c *channel) do(request []byte, patience time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := c.conn.Write(request); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, body, err, response.Close}
}

// encodeRequest returns the bytes of a request.
func encodeRequest(method, path, host string, header [][2]string, body []byte) []byte {
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for _, each := range header {
		fmt.Fprintf(&encoded, "%s: %s\r\n", each[0], each[1])
	}
	if body != nil {
		fmt.Fprintf(&encoded, "Content-Length: %d\r\n", len(body))
	}
	encoded.WriteString("\r\n")
	encoded.Write(body)
	return encoded.Bytes()
}
