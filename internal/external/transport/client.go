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

	"github.com/chicorydale/chicorydale/internal/external"
)

const (
	// dialTimeout limits the time to open a connection. A round trip between regions takes about 25 ms.
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the usual idle timeout of servers, so that the client closes idle connections first
	// and rarely writes to a connection that the server is closing.
	idleConnTimeout = 20 * time.Second
	// defaultRequestTimeout limits a request, including its response, whose context has no deadline.
	defaultRequestTimeout = 30 * time.Second
	// maxIdleConnsPerAddress limits the idle connections kept per address; it covers the slots of a large target.
	maxIdleConnsPerAddress = 64
	// maxReasonBytes limits the text read from an error response.
	maxReasonBytes = 1024
)

// Client sends requests to external systems and reuses connections. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	// oneShot uses each connection for one request only.
	oneShot *http.Client
}

// New returns a client, to be closed with Close.
func New(opts ...Option) *Client {
	config := options{dial: new(net.Dialer).DialContext}
	for _, opt := range opts {
		opt(&config)
	}
	return &Client{httpClient: newHTTPClient(config, false), oneShot: newHTTPClient(config, true)}
}

// newHTTPClient returns an HTTP client that keeps connections for reuse unless oneShot is set.
func newHTTPClient(config options, oneShot bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         withDialTimeout(config.dial),
			MaxIdleConnsPerHost: maxIdleConnsPerAddress,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   oneShot,
		},
		// Following a redirect would send a request that is not idempotent a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withDialTimeout returns a dial function that is cancelled after dialTimeout. Without it, package net/http lets a dial
// continue after its request has ended.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do sends a request and returns the response if its status is 2xx; the caller closes its body. Its errors are described in
// the package comment. The context also covers reading the body.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	var tracker connTracker
	ctx = httptrace.WithClientTrace(ctx, tracker.clientTrace())
	// The request must not have an Idempotency-Key header: package net/http would treat the request as safe to repeat.
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, &external.UnavailableError{System: request.System, Cause: err}
	}
	if request.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if !request.SendDeadline.IsZero() {
		req.Body = io.NopCloser(deadlineReader{Reader: req.Body, deadline: request.SendDeadline})
		req.GetBody = nil // Package net/http would send its copy of the body without the deadline.
	}
	httpClient := c.httpClient
	if request.OwnConnection {
		httpClient = c.oneShot
	}
	response, err := httpClient.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		// Connections may have gone silent together, for example at a middlebox that has lost its state, and would fail one after the other.
		c.httpClient.CloseIdleConnections()
	}
	switch {
	case err != nil && !tracker.connected.Load():
		return nil, &external.UnavailableError{System: request.System, Cause: err}
	case err != nil:
		return nil, &external.CrashedError{Target: request.System, Cause: err}
	case response.StatusCode/100 != 2:
		return nil, responseError(request.System, response)
	}
	return response, nil
}

// DoJSON sends a request and decodes the JSON response, of at most maxBytes, into result, unless result is nil. Its errors
// are described in the package comment; a response that cannot be read or decoded is treated as lost. If the context has no
// deadline, the request times out after 30 s.
func (c *Client) DoJSON(ctx context.Context, request Request, maxBytes int64, result any) error {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequestTimeout)
		defer cancel()
	}
	response, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxBytes)
	}
	if err == nil && result != nil {
		err = json.Unmarshal(body, result)
	}
	if err != nil {
		return &external.CrashedError{Target: request.System, Cause: err}
	}
	return nil
}

// DoReadOnlyJSON is DoJSON for a request that changes nothing in the external system. If the response is lost, it returns an
// *external.UnavailableError instead of an *external.CrashedError.
func (c *Client) DoReadOnlyJSON(ctx context.Context, request Request, maxBytes int64, result any) error {
	err := c.DoJSON(ctx, request, maxBytes, result)
	var crashed *external.CrashedError
	if errors.As(err, &crashed) {
		return &external.UnavailableError{System: request.System, Cause: crashed.Cause}
	}
	return err
}

// responseError returns the error for a response whose status is not 2xx, and closes its body.
func responseError(system string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	reason := strings.TrimSpace(string(text))
	status := response.StatusCode
	if status/100 == 4 || status == http.StatusServiceUnavailable {
		return &external.RejectedError{Target: system, Status: status, Reason: reason}
	}
	return &external.CrashedError{
		Target: system,
		Cause:  errors.Join(fmt.Errorf("status %d: %s", status, reason), err),
	}
}
