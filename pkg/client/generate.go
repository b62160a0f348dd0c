package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// GenerateRequest holds the parameters of a call of a model.
type GenerateRequest struct {
	// Class names a class of the customer's template.
	Class string `json:"class"`
	// Prompt is the text that the model continues.
	Prompt string `json:"prompt"`
	// MaxTokens limits the length of the response, zero for the router's default.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Deadline is the time after which the caller no longer needs the response, zero for none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Generate calls a model and returns the stream of its response, which the caller closes. The call is sent to another
// router only if it certainly did not run at the previous one. The context covers the whole stream.
func (c *Client) Generate(ctx context.Context, model string, request GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	stream := &Stream{client: c, ctx: ctx, routerIndex: c.nextRouterIndex()}
	path := "/v1/models/" + url.PathEscape(model) + "/generate"
	err = stream.open(func(connCtx context.Context) (*http.Response, error) {
		return c.sendUntilAccepted(connCtx, &stream.routerIndex, path, http.Header{"Accept": {eventStream}}, body, false)
	})
	if err != nil {
		return nil, err
	}
	return stream, nil
}
