package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"
)

// InvokeRequest holds the parameters of a call of a plain service.
type InvokeRequest struct {
	// Arguments holds the arguments of the operation by name.
	Arguments map[string]string `json:"arguments,omitempty"`
	// Class names a class of the customer's template, empty for none.
	Class string `json:"class,omitempty"`
	// Deadline is the time after which the caller no longer needs the result, zero for none.
	Deadline time.Time `json:"deadline,omitzero"`
	// IdempotencyKey is a version 7 UUID that makes the call safe to repeat, empty for an idempotent operation. It is sent
	// as a header.
	IdempotencyKey string `json:"-"`
}

// InvokeResult is the result of an invocation.
type InvokeResult struct {
	// Values holds the values that the service returned, by name.
	Values map[string]string `json:"result"`
	// Replayed reports whether this is the stored result of an earlier call with the same idempotency key.
	Replayed bool `json:"replayed"`
}

// Invoke calls an operation of a service. A call with an idempotency key that is interrupted is sent again with the same
// key, to another router if there is one; a call without a key is sent again only if it certainly did not run. The error
// is a *Refusal, an *UnreachableError, an *InterruptedError, a *ProtocolError or the error of the context.
func (c *Client) Invoke(ctx context.Context, service, operation string, request InvokeRequest) (InvokeResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return InvokeResult{}, err
	}
	header := http.Header{}
	if request.IdempotencyKey != "" {
		header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	routerIndex := c.nextRouterIndex()
	for failures := 1; ; failures++ {
		response, err := c.sendUntilAccepted(ctx, &routerIndex, path, header, body, request.IdempotencyKey != "")
		if err != nil {
			return InvokeResult{}, err
		}
		result, err := c.decodeResult(response)
		var protocolErr *ProtocolError
		if err == nil || errors.As(err, &protocolErr) {
			return result, err
		}
		if request.IdempotencyKey == "" || failures >= c.maxAttempts || ctx.Err() != nil {
			return InvokeResult{}, callerError(err, false, 0)
		}
		routerIndex++
	}
}

// decodeResult reads the result of an invocation and closes the body of the response.
func (c *Client) decodeResult(response *http.Response) (InvokeResult, error) {
	defer response.Body.Close() //nolint:errcheck // The body was read or has failed already.
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(c.maxLineBytes)+1))
	if err != nil {
		return InvokeResult{}, err
	}
	if len(data) > c.maxLineBytes {
		return InvokeResult{}, protocolErrorf("the result exceeds %d bytes", c.maxLineBytes)
	}
	var result InvokeResult
	if err := json.Unmarshal(data, &result); err != nil {
		return InvokeResult{}, protocolErrorf("the result cannot be decoded: %v", err)
	}
	return result, nil
}
