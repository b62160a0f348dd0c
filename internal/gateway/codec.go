package gateway

import (
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// RequestInfo holds what a gateway needs from the headers of a caller's request.
type RequestInfo struct {
	// ID identifies the request.
	ID string
	// APIKey is the caller's API key, or empty.
	APIKey string
	// Deadline is the time until which the caller waits for the response. It is zero if the caller did not state one.
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller has of a stream that it takes up, and empty for a new stream.
	LastEventID string
	// ResumedID is the ID of the request that brought the first event of that stream, or empty if the caller did not state it.
	ResumedID string
	// PromptParts are the parts at the beginning of the prompt that other requests may share, in order.
	PromptParts []dispatch.Part
	// PromptTokens is the length of the prompt, MaxOutputTokens the maximum number of tokens to generate.
	PromptTokens, MaxOutputTokens int
}

// SharedParts returns the parts of the prompt that requests of other sessions may share: all but the last one, which belongs to
// the session or to the request alone.
func (i RequestInfo) SharedParts() []dispatch.Part {
	return i.PromptParts[:max(len(i.PromptParts)-1, 0)]
}

// AttemptInfo holds what the headers of a request to a target state in addition to the caller's headers.
type AttemptInfo struct {
	// Target is the name of the target.
	Target string
	// Customer is the name of the customer. It is empty if the caller sent no valid API key.
	Customer string
	// CacheSource is the address of a target whose cache holds parts of the prompt, or empty.
	CacheSource string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// LastEventID is the ID of the last event that the caller has received, or empty at the start of a stream.
	LastEventID string
}

// Codec translates the headers of an external interface. Implementations must be safe for concurrent use.
type Codec interface {
	forward.Codec
	// ParseRequest parses the headers of a request that arrived at the given time. A refusal says that the headers are not
	// valid; the RequestInfo may then be incomplete.
	ParseRequest(r *http.Request, arrivedAt time.Time) (RequestInfo, *refusal.Error)
	// RequestHeader returns the headers of the request to a target.
	RequestHeader(caller http.Header, attempt AttemptInfo) http.Header
	// ResponseHeader returns the headers of the response to the caller, given those of the target.
	ResponseHeader(target http.Header) http.Header
}
