package client

import (
	"net/http"
	"time"
)

// Refusal is the error of a call that a router refused or ended with an error event.
type Refusal struct {
	// Status is the HTTP status code, zero for an error event of a stream.
	Status int `json:"-"`
	// Code identifies the reason; it is one of the documented refusal codes.
	Code string `json:"code"`
	// Message describes the reason for people.
	Message string `json:"message"`
	// Ran is "no" if the call certainly did not run, otherwise "unknown".
	Ran string `json:"ran"`
	// RetryAt is the earliest time at which a retry makes sense, zero if the router gave none.
	RetryAt time.Time `json:"retry_at,omitzero"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// isRouterSpecific reports whether only this router refuses the call, so that another one may accept it.
func (r *Refusal) isRouterSpecific() bool {
	return r.Code == "shutting_down" || r.Code == "isolated"
}

// isTransient reports whether the status is that of a rate limit or a temporary outage (429 or 503).
func (r *Refusal) isTransient() bool {
	return r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
}
