package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Client calls the routers of a fleet. It is safe for concurrent use.
type Client struct {
	addresses    []string
	apiKey       string
	maxAttempts  int
	retryDelay   time.Duration
	idleTimeout  time.Duration
	maxLineBytes int
	httpClient   http.Client
	// startedCalls counts the calls; it selects the first router of each call in turn.
	startedCalls atomic.Uint64
}

// New returns a client that distributes its calls over the routers at addresses in turn and authenticates with apiKey.
// Each address is an IP address and port; New returns an error if there is none or one is invalid. The client keeps the
// slice, which must not be changed afterwards.
func New(addresses []string, apiKey string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("a client needs at least one router address")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("router address %q is not an IP address and port", address)
		}
	}
	const (
		defaultMaxAttempts  = 8
		defaultRetryDelay   = 100 * time.Millisecond
		defaultIdleTimeout  = 15 * time.Second
		defaultMaxLineBytes = 1 << 20
		// maxIdleConnsPerAddress keeps enough idle connections for thousands of calls per second.
		maxIdleConnsPerAddress = 512
	)
	dialer := net.Dialer{Timeout: 3 * time.Second}
	client := &Client{
		addresses: addresses, apiKey: apiKey, maxAttempts: defaultMaxAttempts, retryDelay: defaultRetryDelay,
		idleTimeout: defaultIdleTimeout, maxLineBytes: defaultMaxLineBytes,
	}
	client.httpClient.Transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerAddress}
	for _, option := range options {
		option(client)
	}
	return client, nil
}

// nextRouterIndex returns the index of the first router of a new call. Each call then advances its own copy, so that
// concurrent calls of the client do not lead it back to a router that failed it.
func (c *Client) nextRouterIndex() uint64 { return c.startedCalls.Add(1) - 1 }

// address returns the address of the router at routerIndex modulo the number of addresses.
func (c *Client) address(routerIndex uint64) string {
	return c.addresses[routerIndex%uint64(len(c.addresses))]
}

// send sends one request to one router and returns the response if its status is 200; the caller closes its body. Any
// other status is returned as a *Refusal, or as a *ProtocolError if the body holds none. Other errors are those of the
// connection.
func (c *Client) send(ctx context.Context, method string, routerIndex uint64, path string, header http.Header, body []byte,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(routerIndex)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+c.apiKey)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close() //nolint:errcheck // The rest of a refused response is not needed.
	refusal := &Refusal{Status: response.StatusCode}
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(c.maxLineBytes)))
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(data, refusal) != nil || refusal.Code == "" {
		return nil, protocolErrorf("status %d without a refusal in the body", response.StatusCode)
	}
	return nil, refusal
}

// waitAfterRound waits for delay if the number of failures completes a round over all addresses; otherwise it returns at
// once. It returns the error of the context if that ends.
func (c *Client) waitAfterRound(ctx context.Context, failures int, delay time.Duration) error {
	if failures%len(c.addresses) != 0 || delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// sendUntilAccepted sends a request to one router after the other, starting at routerIndex, until one accepts it, and
// leaves routerIndex at that router. It returns a refusal that is not specific to the router at once. Otherwise it tries
// the next router if the call certainly did not run or is safe to repeat, up to maxAttempts attempts in all.
func (c *Client) sendUntilAccepted(
	ctx context.Context, routerIndex *uint64, path string, header http.Header, body []byte, safeToRepeat bool,
) (*http.Response, error) {
	for failures := 1; ; failures++ {
		response, err := c.send(ctx, http.MethodPost, *routerIndex, path, header, body)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var refusal *Refusal
		refused := errors.As(err, &refusal)
		if refused && !refusal.isRouterSpecific() {
			return nil, err
		}
		notRun := refused && refusal.Ran == "no" || isDialError(err)
		if !notRun && !safeToRepeat || failures >= c.maxAttempts {
			return nil, callerError(err, notRun && !refused, 0)
		}
		*routerIndex++
		if err := c.waitAfterRound(ctx, failures, c.retryDelay); err != nil {
			return nil, err
		}
	}
}

// isDialError reports whether err means that no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// callerError returns the error for the caller: a *Refusal or *ProtocolError unchanged, otherwise an *UnreachableError if
// no router could be connected to, or an *InterruptedError with the index of the first missing token.
func callerError(err error, unreachable bool, nextIndex int64) error {
	var refusal *Refusal
	var protocolErr *ProtocolError
	switch {
	case errors.As(err, &refusal), errors.As(err, &protocolErr):
		return err
	case unreachable:
		return &UnreachableError{Cause: err}
	default:
		return &InterruptedError{NextIndex: nextIndex, Cause: err}
	}
}
