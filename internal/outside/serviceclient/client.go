package serviceclient

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

// answerBytes bounds the answer of an operation.
const answerBytes = 1 << 20

// Client implements outside.Service.
type Client struct {
	name      string
	address   string
	transport *transport.Client
}

var _ outside.Service = (*Client)(nil)

// New returns a client of the replica with this name at address (IP address and port).
func New(name, address string, transport *transport.Client) *Client {
	return &Client{name: name, address: address, transport: transport}
}

// Invoke runs an operation. A *outside.UnavailableError or *outside.RejectedError means that it did not run; a
// *outside.CrashedError means that it may have run. It is never sent twice.
func (c *Client) Invoke(ctx context.Context, call outside.InvokeRequest) (map[string]string, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, &outside.UnavailableError{System: c.name, Cause: err}
	}
	request := transport.Request{
		System: c.name, Address: c.address, Method: http.MethodPost, Path: "/invoke", Body: body,
	}
	var answer wire.InvokeResponse
	if err := c.transport.DoJSON(ctx, request, answerBytes, &answer); err != nil {
		return nil, err
	}
	return answer.Values, nil
}

// LoadReport returns the replica's newest load report.
func (c *Client) LoadReport(ctx context.Context) (outside.LoadReport, error) {
	return c.transport.LoadReport(ctx, c.name, c.address)
}
