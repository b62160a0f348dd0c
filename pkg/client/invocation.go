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

// Invocation is a call of a plain service.
type Invocation struct {
	// Arguments are the arguments of the operation.
	Arguments map[string]string `json:"arguments,omitempty"`
	// Class is a class of the customer's template, empty for none.
	Class string `json:"class,omitempty"`
	// Deadline is the instant after which the caller gives up, zero for none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Key is the idempotency key, a UUID of version 7, empty for an idempotent operation.
	Key string `json:"-"`
}

// Result is the answer to an invocation.
type Result struct {
	// Values are the answer of the service.
	Values map[string]string `json:"result"`
	// Replayed is set if this is the stored answer of an earlier call with the same key.
	Replayed bool `json:"replayed"`
}

// Invoke calls an operation of a service. A call with a key that breaks off is sent again with the same key, to another
// router if there is one; a call without a key is sent again only if it certainly did not run.
func (c *Client) Invoke(ctx context.Context, service, operation string, call Invocation) (Result, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return Result{}, err
	}
	header := http.Header{}
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	entry := c.entry()
	for failures := 1; ; failures++ {
		response, err := c.dispatch(ctx, &entry, path, header, body, call.Key != "")
		if err != nil {
			return Result{}, err
		}
		result, err := c.result(response)
		var wrong *ProtocolError
		if err == nil || errors.As(err, &wrong) {
			return result, err
		}
		if call.Key == "" || failures >= c.attempts || ctx.Err() != nil {
			return Result{}, final(err, false, 0)
		}
		entry++
	}
}

// result reads the answer to an invocation.
func (c *Client) result(response *http.Response) (Result, error) {
	defer response.Body.Close() //nolint:errcheck // The answer is whole or not, whatever the closing says.
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(c.line)+1))
	if err != nil {
		return Result{}, err
	}
	if len(text) > c.line {
		return Result{}, protocol("an answer has more than %d bytes", c.line)
	}
	var result Result
	if err := json.Unmarshal(text, &result); err != nil {
		return Result{}, protocol("%v", err)
	}
	return result, nil
}
