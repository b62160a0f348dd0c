package forward

import (
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// Codec interprets the responses of targets. It must be safe for concurrent use.
type Codec interface {
	// Classify returns what the status and headers of a response say about the request with the given ID.
	Classify(id string, status int, header http.Header) ResponseInfo
	// StartURI returns the URI at which a target tells its start.
	StartURI() string
	// ParseStart returns the start in a target's answer, in Unix milliseconds, and an error if it tells none.
	ParseStart(body []byte) (int64, error)
}

// ResponseInfo is what the head of a response says about a request.
type ResponseInfo struct {
	// Unmatched is set if the response belongs to another request. The other fields are then not set.
	Unmatched bool
	// NotRun is set if the target states that it did not and will not run the request.
	NotRun bool
	// Misdirected is set if the address now belongs to another target than the expected one.
	Misdirected bool
	// Signed is set if the response carries the target's signature. The signature is not verified.
	Signed bool
	// RateLimit is the number of requests per second that the target takes from all routers together, 0 if it names no limit.
	RateLimit float64
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// PausedUntil is the time until which the target wants no requests from this router, zero if it asks for no pause.
	PausedUntil time.Time
	// HeaderErr is not nil if a header about the target has no valid value. It is then ignored.
	HeaderErr error
	// Load is the load that the target reported, nil if it reported none.
	Load *dispatch.Load
}
