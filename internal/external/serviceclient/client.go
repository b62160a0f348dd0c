package serviceclient

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
	"github.com/chicorydale/chicorydale/internal/external/wire"
)

// maxResponseBytes limits the response to an invocation.
const maxResponseBytes = 1 << 20

// Client implements external.Service. It is safe for concurrent use.
type Client struct {
	name      string
	address   string
	transport *transport.Client
}

var _ external.Service = (*Client)(nil)

// New returns a client of the replica at address (IP address and port). Errors refer to the replica by name. The caller
// remains the owner of transport.
func New(name, address string, transport *transport.Client) *Client {
	return &Client{name: name, address: address, transport: transport}
}

// Invoke runs an operation and returns its result. An *external.UnavailableError or *external.RejectedError means that it did
// not run; an *external.CrashedError means that it may have run. The request is never sent twice.
func (c *Client) Invoke(ctx context.Context, invocation external.InvokeRequest) (map[string]string, error) {
	body, err := json.Marshal(invocation)
	if err != nil {
		return nil, &external.UnavailableError{System: c.name, Cause: err}
	}
	request := transport.Request{
		System: c.name, Address: c.address, Method: http.MethodPost, Path: "/invoke", Body: body,
		SendDeadline: invocation.SendDeadline,
		// Answers do not name their request, and a refusal of another one would count as not run.
		OwnConnection: true,
	}
	var response wire.InvokeResponse
	if err := c.transport.DoJSON(ctx, request, maxResponseBytes, &response); err != nil {
		return nil, err
	}
	return response.Values, nil
}

// LoadReport returns the latest load report of the replica.
func (c *Client) LoadReport(ctx context.Context) (external.LoadReport, error) {
	return c.transport.LoadReport(ctx, c.name, c.address)
}
