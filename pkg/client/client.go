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

// Client calls the routers of a fleet. It may be used by several goroutines at once.
type Client struct {
	addresses []string
	key       string
	attempts  int
	pause     time.Duration
	silence   time.Duration
	line      int
	http      http.Client
	turn      atomic.Uint64
}

// New returns a client that uses the routers at the addresses, each an IP address with port, in turn.
func New(addresses []string, key string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("a client needs an address")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("address %q is not an IP address with port", address)
		}
	}
	const (
		attempts = 8
		pause    = 100 * time.Millisecond
		silence  = 15 * time.Second
		line     = 1 << 20
		// perHost keeps enough idle connections for a load of thousands of calls each second.
		perHost = 512
	)
	dialer := net.Dialer{Timeout: 3 * time.Second}
	client := &Client{addresses: addresses, key: key, attempts: attempts, pause: pause, silence: silence, line: line}
	client.http.Transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: perHost}
	for _, option := range options {
		option(client)
	}
	return client, nil
}

// entry returns the number of the router that gets the next call. A call goes on from its own entry, so that other calls
// of the client do not lead it back to the router that failed it.
func (c *Client) entry() uint64 { return c.turn.Add(1) - 1 }

// address returns the address of the router with a number, counted round all addresses.
func (c *Client) address(entry uint64) string {
	return c.addresses[entry%uint64(len(c.addresses))]
}

// send sends one request to one router. An error is a *Refusal, a *ProtocolError or the error of the connection.
func (c *Client) send(ctx context.Context, method string, entry uint64, path string, header http.Header, body []byte,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close() //nolint:errcheck // Nothing depends on the rest of a refusal.
	refusal := &Refusal{Status: response.StatusCode}
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(c.line)))
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(text, refusal) != nil || refusal.Code == "" {
		return nil, protocol("status %d without a refusal", response.StatusCode)
	}
	return nil, refusal
}

// wait pauses after each round over all addresses without success.
func (c *Client) wait(ctx context.Context, failures int, pause time.Duration) error {
	if failures%len(c.addresses) != 0 || pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// dispatch sends a request to one router after the other, from the entry on, until one takes it, and moves the entry to
// that one. It goes on only if the call certainly did not run, or if repeatable is set, because another run does no harm
// then.
func (c *Client) dispatch(
	ctx context.Context, entry *uint64, path string, header http.Header, body []byte, repeatable bool,
) (*http.Response, error) {
	for failures := 1; ; failures++ {
		response, err := c.send(ctx, http.MethodPost, *entry, path, header, body)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var refusal *Refusal
		refused := errors.As(err, &refusal)
		if refused && !refusal.elsewhere() {
			return nil, err
		}
		unsent := refused && refusal.Ran == "no" || dialing(err)
		if !unsent && !repeatable || failures >= c.attempts {
			return nil, final(err, unsent && !refused, 0)
		}
		*entry++
		if err := c.wait(ctx, failures, c.pause); err != nil {
			return nil, err
		}
	}
}

// dialing reports whether no connection was made, so that nothing was sent.
func dialing(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// final returns the error for the caller: refusals and protocol errors as they are, else unreachable or broken.
func final(err error, unreachable bool, next int64) error {
	var refusal *Refusal
	var wrong *ProtocolError
	switch {
	case errors.As(err, &refusal), errors.As(err, &wrong):
		return err
	case unreachable:
		return &UnreachableError{Cause: err}
	default:
		return &InterruptedError{NextIndex: next, Cause: err}
	}
}
