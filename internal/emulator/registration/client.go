package registration

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

const (
	// retryInterval is the time between two attempts to connect to a host list that cannot be reached.
	retryInterval = 100 * time.Millisecond
	// maxResponseBytes bounds the size of a response. Responses of the host list to changes are empty.
	maxResponseBytes = 1 << 10
)

// Client changes entries of one host list. It is safe for concurrent use.
type Client struct {
	address   string
	transport *transport.Client
}

// New returns a client of the host list at address (IP address and port). The caller owns the transport.
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// Put adds or replaces the entry of a host. It retries until the context ends while the host list cannot be reached.
func (c *Client) Put(ctx context.Context, host external.Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	for {
		err := c.sendRequest(ctx, http.MethodPut, host.Name, "", body)
		var unavailable *external.UnavailableError
		if !errors.As(err, &unavailable) || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// Remove removes the entry of the named host.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.sendRequest(ctx, http.MethodDelete, name, "", nil)
}

// Leave marks the entry of the named host as leaving.
func (c *Client) Leave(ctx context.Context, name string) error {
	return c.sendRequest(ctx, http.MethodPost, name, "/leaving", nil)
}

// sendRequest sends one request for the entry of the named host. The suffix is appended to the path of the entry.
func (c *Client) sendRequest(ctx context.Context, method, name, suffix string, body []byte) error {
	return c.transport.DoJSON(ctx, transport.Request{
		System: "host list", Address: c.address, Method: method, Path: "/hosts/" + url.PathEscape(name) + suffix,
		Body: body,
	}, maxResponseBytes, nil)
}
