package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// GenerateRequest is a call of a model.
type GenerateRequest struct {
	// Class is a class of the customer's template.
	Class string `json:"class"`
	// Prompt is the text to go on from.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer, zero for the router's default.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Deadline is the instant after which the caller gives up, zero for none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Generate calls a model. The call goes to another router only if it certainly did not run at the first one. The stream
// ends when the context does.
func (c *Client) Generate(ctx context.Context, model string, call GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}
	stream := &Stream{client: c, context: ctx, entry: c.entry()}
	path := "/v1/models/" + url.PathEscape(model) + "/generate"
	err = stream.open(func(connection context.Context) (*http.Response, error) {
		return c.dispatch(connection, &stream.entry, path, http.Header{"Accept": {eventStream}}, body, false)
	})
	if err != nil {
		return nil, err
	}
	return stream, nil
}
