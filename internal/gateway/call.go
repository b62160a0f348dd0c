package gateway

import (
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID identifies the request.
	ID string
	// APIKey is the caller's key, empty if there is none.
	APIKey string
	// Deadline is the instant until which the caller waits, zero if it does not tell.
	Deadline time.Time
	// PromptParts are the shared parts at the beginning of the prompt.
	PromptParts []dispatch.Part
	// PromptTokens is the number of tokens of the prompt, Output the greatest number of tokens to generate.
	PromptTokens, MaxOutputTokens int
}

// AttemptInfo is what the headers of a request to a target say besides those of the caller.
type AttemptInfo struct {
	// Target is the name of the target.
	Target string
	// Customer is the name of the customer, empty for a caller without a key.
	Customer string
	// CacheSource is the address of a target from whose cache parts of the prompt can be taken, empty for none.
	CacheSource string
	// TimeLeft is the time that the target has.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the caller has got, empty at the beginning of a stream.
	LastEventID string
}

// Codec translates the headers of an interface.
type Codec interface {
	forward.Codec
	// ParseRequest returns what the headers of a request say that arrived at an instant.
	ParseRequest(r *http.Request, arrived time.Time) (RequestInfo, *refusal.Error)
	// RequestHeader returns the headers of the request to a target.
	RequestHeader(caller http.Header, delivery AttemptInfo) http.Header
	// ResponseHeader returns the headers of the answer to the caller.
	ResponseHeader(target http.Header) http.Header
}
