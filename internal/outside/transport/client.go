package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	// dialTimeout bounds the opening of a connection; routes between regions take some 25 ms for a round trip.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle time-outs usual at servers, so that the client closes idle connections
	// first and seldom writes to one that the server is just closing.
	idleTimeout = 20 * time.Second
	// exchangeTimeout bounds an exchange whose context has no deadline.
	exchangeTimeout = 30 * time.Second
	// idlePerHost is the number of idle connections kept to one address, enough for the slots of a large target.
	idlePerHost = 64
	// reasonBytes bounds the text taken from a refusal.
	reasonBytes = 1024
)

// Client makes exchanges over reused connections. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// New returns a client.
func New(opts ...Option) *Client {
	set := options{dial: new(net.Dialer).DialContext}
	for _, opt := range opts {
		opt(&set)
	}
	return &Client{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         bound(set.dial),
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		// A redirect would send a request with an effect a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// bound returns a dial function that ends at the time-out. Package net/http lets a dial go on after its request ended.
func bound(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Do sends a request and returns the successful response, whose body the caller closes. Its errors are those of the
// package. The context covers the reading of the body too.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	var try attempt
	ctx = httptrace.WithClientTrace(ctx, try.trace())
	// The request must not have the header Idempotency-Key: package net/http takes it as leave to send again.
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, &outside.UnavailableError{System: request.System, Cause: err}
	}
	if request.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	response, err := c.client.Do(req)
	switch {
	case err != nil && !try.connected.Load():
		return nil, &outside.UnavailableError{System: request.System, Cause: err}
	case err != nil:
		return nil, &outside.CrashedError{Target: request.System, Cause: err}
	case response.StatusCode/100 != 2:
		return nil, refusal(request.System, response)
	}
	return response, nil
}

// DoJSON sends a request and decodes the JSON answer, of at most limit bytes, into answer, which may be nil. Its
// errors are those of the package; an answer that cannot be read counts as none.
func (c *Client) DoJSON(ctx context.Context, request Request, limit int64, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
	}
	response, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("answer is longer than %d bytes", limit)
	}
	if err == nil && answer != nil {
		err = json.Unmarshal(body, answer)
	}
	if err != nil {
		return &outside.CrashedError{Target: request.System, Cause: err}
	}
	return nil
}

// DoReadOnlyJSON makes an exchange that has no effect on the system: if the answer is lost, the system counts as unavailable.
func (c *Client) DoReadOnlyJSON(ctx context.Context, request Request, limit int64, answer any) error {
	err := c.DoJSON(ctx, request, limit, answer)
	var crashed *outside.CrashedError
	if errors.As(err, &crashed) {
		return &outside.UnavailableError{System: request.System, Cause: crashed.Cause}
	}
	return err
}

// refusal returns the error for a response that is no success, and closes it.
func refusal(system string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, reasonBytes))
	reason := strings.TrimSpace(string(text))
	status := response.StatusCode
	if status/100 == 4 || status == http.StatusServiceUnavailable {
		return &outside.RejectedError{Target: system, Status: status, Reason: reason}
	}
	return &outside.CrashedError{
		Target: system,
		Cause:  errors.Join(fmt.Errorf("status %d: %s", status, reason), err),
	}
}
