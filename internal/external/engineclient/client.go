package engineclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

const (
	// defaultIdleTimeout is five times the interval at which engines send empty lines.
	defaultIdleTimeout = 5 * time.Second
	// maxCancelResponseBytes limits the response to a cancellation, which is normally empty.
	maxCancelResponseBytes = 1 << 10
)

// errIdleTimeout is the cause of an interruption after the engine sent nothing for the idle timeout.
var errIdleTimeout = errors.New("engine is silent")

// Client implements external.Engine. It is safe for concurrent use.
type Client struct {
	name        string
	address     string
	transport   *transport.Client
	idleTimeout time.Duration
}

var _ external.Engine = (*Client)(nil)

// New returns a client of the engine at address (IP address and port). Errors refer to the engine by name. The caller
// remains the owner of transport.
func New(name, address string, transport *transport.Client, opts ...Option) *Client {
	client := &Client{name: name, address: address, transport: transport, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// Generate starts a model call. An *external.UnavailableError or *external.RejectedError means that it did not run; an
// *external.CrashedError means that it may have run. The context covers the whole stream.
func (c *Client) Generate(ctx context.Context, request external.GenerateRequest) (external.Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &external.UnavailableError{System: c.name, Cause: err}
	}
	return c.open(ctx, c.newRequest(http.MethodPost, "/generate", body), 0)
}

// Resume returns the tokens of an existing stream, running or finished, from a token index on. An *external.RejectedError
// with status 404 means that the engine does not have the stream. The context covers the whole stream.
func (c *Client) Resume(ctx context.Context, streamID string, from int64) (external.Stream, error) {
	path := fmt.Sprintf("/streams/%s?from=%d", url.PathEscape(streamID), from)
	return c.open(ctx, c.newRequest(http.MethodGet, path, nil), from)
}

// Cancel cancels the call of a stream. It returns nil if the engine does not have the stream.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	request := c.newRequest(http.MethodDelete, "/streams/"+url.PathEscape(streamID), nil)
	err := c.transport.DoJSON(ctx, request, maxCancelResponseBytes, nil)
	var rejected *external.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// LoadReport returns the latest load report of the engine.
func (c *Client) LoadReport(ctx context.Context) (external.LoadReport, error) {
	return c.transport.LoadReport(ctx, c.name, c.address)
}

// open sends a request and returns the stream of its response. The index of the first token is from. The idle timeout
// covers the wait for the response headers.
func (c *Client) open(ctx context.Context, request transport.Request, from int64) (external.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(c.idleTimeout, func() { cancel(errIdleTimeout) })
	response, err := c.transport.Do(ctx, request) //nolint:bodyclose // The stream closes it.
	timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, c, response, cancel, from), nil
}

// newRequest returns an HTTP request to the engine.
func (c *Client) newRequest(method, path string, body []byte) transport.Request {
	return transport.Request{System: c.name, Address: c.address, Method: method, Path: path, Body: body}
}
