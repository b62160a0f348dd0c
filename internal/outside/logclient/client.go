package logclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

const (
	// system names the log service in errors.
	system = "log"
	// appendedBytes bounds the answer to an append.
	appendedBytes = 4 << 10
	// pageBytes bounds one page: the service sends about 1 MiB of data, and base64 adds a third.
	pageBytes = 8 << 20
	// grace is what a read may take beyond its deadline for the answer to arrive.
	grace = 2 * time.Second
)

// Client implements outside.Log.
type Client struct {
	address   string
	transport *transport.Client
}

var _ outside.Log = (*Client)(nil)

// New returns a client of the log service at address (IP address and port).
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// Append adds a record to a stream and returns its offset. A *outside.UnsettledError means that it may have taken
// effect or may still do so; a *outside.UnavailableError or *outside.RejectedError means that it did not. Status 429
// of a RejectedError is the service's rate limit.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var appended wire.AppendResponse
	err := c.transport.DoJSON(ctx, c.request(http.MethodPost, stream, "", data), appendedBytes, &appended)
	var crashed *outside.CrashedError
	if errors.As(err, &crashed) {
		return 0, &outside.UnsettledError{Stream: stream, Cause: crashed.Cause}
	}
	return appended.Offset, err
}

// Read returns the records of a stream from an offset on. If there are none, it waits for some until the deadline. A
// service that does not answer gives a *outside.UnavailableError shortly after the deadline.
func (c *Client) Read(ctx context.Context, stream string, from uint64, deadline time.Time) (outside.Page, error) {
	wait := max(0, time.Until(deadline))
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	query := fmt.Sprintf("?from=%d&wait_ms=%d", from, wait.Milliseconds())
	var answer wire.Page
	if err := c.transport.DoReadOnlyJSON(ctx, c.request(http.MethodGet, stream, query, nil), pageBytes, &answer); err != nil {
		return outside.Page{}, err
	}
	page := outside.Page{FirstOffset: answer.FirstOffset, EndOffset: answer.EndOffset}
	for _, record := range answer.Records {
		page.Records = append(page.Records, outside.Record(record))
	}
	return page, nil
}

// request returns the request for the records of a stream.
func (c *Client) request(method, stream, query string, body []byte) transport.Request {
	return transport.Request{
		System: system, Address: c.address, Method: method, Body: body,
		Path: "/streams/" + url.PathEscape(stream) + "/records" + query,
	}
}
