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

// InvokeRequest is a call of a plain service.
type InvokeRequest struct {
	// Arguments are the arguments of the operation.
	Arguments map[string]string `json:"arguments,omitempty"`
	// Class is a class of the customer's template, empty for none.
	Class string `json:"class,omitempty"`
	// Deadline is the instant after which the caller gives up, zero for none.
	Deadline time.Time `json:"deadline,omitzero"`
	// IdempotencyKey is the idempotency key, a UUID of version 7, empty for an idempotent operation.
	IdempotencyKey string `json:"-"`
}

// InvokeResult is the answer to an invocation.
type InvokeResult struct {
	// Values are the answer of the service.
	Values map[string]string `json:"result"`
	// Replayed is set if this is the stored answer of an earlier call with the same key.
	Replayed bool `json:"replayed"`
}

// Invoke calls an operation of a service. A call with a key that breaks off is sent again with the same key, to another
// router if there is one; a call without a key is sent again only if it certainly did not run.
func (c *Client) Invoke(ctx context.Context, service, operation string, call InvokeRequest) (InvokeResult, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return InvokeResult{}, err
	}
	header := http.Header{}
	if call.IdempotencyKey != "" {
		header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	entry := c.entry()
	for failures := 1; ; failures++ {
		response, err := c.dispatch(ctx, &entry, path, header, body, call.IdempotencyKey != "")
		if err != nil {
			return InvokeResult{}, err
		}
		result, err := c.result(response)
		var wrong *ProtocolError
		if err == nil || errors.As(err, &wrong) {
			return result, err
		}
		if call.IdempotencyKey == "" || failures >= c.attempts || ctx.Err() != nil {
			return InvokeResult{}, final(err, false, 0)
		}
		entry++
	}
}

// result reads the answer to an invocation.
func (c *Client) result(response *http.Response) (InvokeResult, error) {
	defer response.Body.Close() //nolint:errcheck // The answer is whole or not, whatever the closing says.
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(c.line)+1))
	if err != nil {
		return InvokeResult{}, err
	}
	if len(text) > c.line {
		return InvokeResult{}, protocol("an answer has more than %d bytes", c.line)
	}
	var result InvokeResult
	if err := json.Unmarshal(text, &result); err != nil {
		return InvokeResult{}, protocol("%v", err)
	}
	return result, nil
}
