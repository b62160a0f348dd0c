package engineclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

const (
	// silence is the default of WithIdleTimeout: five times the period of the engines' empty lines.
	silence = 5 * time.Second
	// cancelBytes bounds the answer to a cancellation, which is empty.
	cancelBytes = 1 << 10
)

// errSilent is the cause of a stream that broke off because the engine sent nothing.
var errSilent = errors.New("engine is silent")

// Client implements outside.Engine.
type Client struct {
	name      string
	address   string
	transport *transport.Client
	silence   time.Duration
}

var _ outside.Engine = (*Client)(nil)

// New returns a client of the engine with this name at address (IP address and port).
func New(name, address string, transport *transport.Client, opts ...Option) *Client {
	client := &Client{name: name, address: address, transport: transport, silence: silence}
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// Generate starts a call. A *outside.UnavailableError or *outside.RejectedError means that it did not run; a
// *outside.CrashedError means that it may have run. The context covers the whole stream.
func (c *Client) Generate(ctx context.Context, call outside.GenerateRequest) (outside.Stream, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, &outside.UnavailableError{System: c.name, Cause: err}
	}
	return c.open(ctx, c.request(http.MethodPost, "/generate", body), 0)
}

// Resume attaches to a stream at a token index, while it runs or after. A *outside.RejectedError with status 404 means
// that the engine does not have the stream. The context covers the whole stream.
func (c *Client) Resume(ctx context.Context, stream string, from int64) (outside.Stream, error) {
	path := fmt.Sprintf("/streams/%s?from=%d", url.PathEscape(stream), from)
	return c.open(ctx, c.request(http.MethodGet, path, nil), from)
}

// Cancel ends a stream. A stream that the engine does not have counts as ended.
func (c *Client) Cancel(ctx context.Context, stream string) error {
	request := c.request(http.MethodDelete, "/streams/"+url.PathEscape(stream), nil)
	err := c.transport.DoJSON(ctx, request, cancelBytes, nil)
	var rejected *outside.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// LoadReport returns the engine's newest load report.
func (c *Client) LoadReport(ctx context.Context) (outside.LoadReport, error) {
	return c.transport.LoadReport(ctx, c.name, c.address)
}

// open sends a request that a stream answers, whose first token has index from.
func (c *Client) open(ctx context.Context, request transport.Request, from int64) (outside.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(c.silence, func() { cancel(errSilent) })
	response, err := c.transport.Do(ctx, request) //nolint:bodyclose // The stream closes it.
	timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, c, response, cancel, from), nil
}

// request returns a request to the engine.
func (c *Client) request(method, path string, body []byte) transport.Request {
	return transport.Request{System: c.name, Address: c.address, Method: method, Path: path, Body: body}
}
