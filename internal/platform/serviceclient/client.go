package serviceclient

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/platform"
	"github.com/chicorydale/chicorydale/internal/platform/transport"
	"github.com/chicorydale/chicorydale/internal/platform/wire"
)

// answerBytes bounds the answer of an operation.
const answerBytes = 1 << 20

// Client implements platform.Service.
type Client struct {
	name      string
	address   string
	transport *transport.Client
}

var _ platform.Service = (*Client)(nil)

// New returns a client of the replica with this name at address (IP address and port).
func New(name, address string, transport *transport.Client) *Client {
	return &Client{name: name, address: address, transport: transport}
}

// Invoke runs an operation. A *platform.UnavailableError or *platform.RejectedError means that it did not run; a
// *platform.CrashedError means that it may have run. It is never sent twice.
func (c *Client) Invoke(ctx context.Context, call platform.Invocation) (map[string]string, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, &platform.UnavailableError{System: c.name, Cause: err}
	}
	request := transport.Request{
		System: c.name, Address: c.address, Method: http.MethodPost, Path: "/invoke", Body: body,
	}
	var answer wire.Result
	if err := c.transport.Exchange(ctx, request, answerBytes, &answer); err != nil {
		return nil, err
	}
	return answer.Result, nil
}

// Load returns the replica's newest load report.
func (c *Client) Load(ctx context.Context) (platform.Load, error) {
	return c.transport.Load(ctx, c.name, c.address)
}
