package registration

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

const (
	// pause is the time between two tries to reach a host list that is not up.
	pause = 100 * time.Millisecond
	// answerBytes bounds the answers, which are empty.
	answerBytes = 1 << 10
)

// Client changes entries of the host list at one address.
type Client struct {
	address   string
	transport *transport.Client
}

// New returns a client of the host list at address (IP address and port).
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// Put sets an entry. It tries until the context's deadline if the host list is not up.
func (c *Client) Put(ctx context.Context, host outside.Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	for {
		err := c.send(ctx, http.MethodPut, host.Name, "", body)
		var unavailable *outside.UnavailableError
		if !errors.As(err, &unavailable) || ctx.Err() != nil {
			return err
		}
		time.Sleep(pause)
	}
}

// Remove removes an entry.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.send(ctx, http.MethodDelete, name, "", nil)
}

// Leave marks an entry as leaving.
func (c *Client) Leave(ctx context.Context, name string) error {
	return c.send(ctx, http.MethodPost, name, "/leaving", nil)
}

// send makes one exchange about an entry.
func (c *Client) send(ctx context.Context, method, name, suffix string, body []byte) error {
	return c.transport.DoJSON(ctx, transport.Request{
		System: "host list", Address: c.address, Method: method, Path: "/hosts/" + url.PathEscape(name) + suffix,
		Body: body,
	}, answerBytes, nil)
}
