package logclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
	"github.com/chicorydale/chicorydale/internal/external/wire"
)

const (
	// systemName identifies the log service in errors.
	systemName = "log"
	// maxAppendResponseBytes limits the response to an append.
	maxAppendResponseBytes = 4 << 10
	// maxPageBytes limits one page. The service sends about 1 MiB of data, and base64 adds a third.
	maxPageBytes = 8 << 20
	// readGrace is the time beyond the deadline of a read for its response to arrive.
	readGrace = 2 * time.Second
)

// Client implements external.Log. It is safe for concurrent use.
type Client struct {
	address   string
	transport *transport.Client
}

var _ external.Log = (*Client)(nil)

// New returns a client of the log service at address (IP address and port). The caller remains the owner of transport.
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// Append appends a record to a stream and returns its offset. An *external.UnsettledError means that the append may have
// taken effect or may still do so; an *external.UnavailableError or *external.RejectedError means that it had no effect.
// Status 429 of a RejectedError means that the rate limit of the service was exceeded.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var response wire.AppendResponse
	err := c.transport.DoJSON(ctx, c.newRequest(http.MethodPost, stream, "", data), maxAppendResponseBytes, &response)
	var crashed *external.CrashedError
	if errors.As(err, &crashed) {
		return 0, &external.UnsettledError{Stream: stream, Cause: crashed.Cause}
	}
	return response.Offset, err
}

// Read returns the records of a stream from an offset on. If there are none, it waits for an append until the deadline. If
// the service does not respond, it returns an *external.UnavailableError 2 s after the deadline.
func (c *Client) Read(ctx context.Context, stream string, from uint64, deadline time.Time) (external.Page, error) {
	wait := max(0, time.Until(deadline))
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	query := fmt.Sprintf("?from=%d&wait_ms=%d", from, wait.Milliseconds())
	var response wire.Page
	if err := c.transport.DoReadOnlyJSON(ctx, c.newRequest(http.MethodGet, stream, query, nil), maxPageBytes, &response); err != nil {
		return external.Page{}, err
	}
	page := external.Page{FirstOffset: response.FirstOffset, EndOffset: response.EndOffset}
	for _, record := range response.Records {
		page.Records = append(page.Records, external.Record(record))
	}
	return page, nil
}

// newRequest returns an HTTP request for the records of a stream.
func (c *Client) newRequest(method, stream, query string, body []byte) transport.Request {
	return transport.Request{
		System: systemName, Address: c.address, Method: method, Body: body,
		Path: "/streams/" + url.PathEscape(stream) + "/records" + query,
	}
}
