package client

import (
	"net/http"
	"time"
)

// Refusal is the error of a call that a router refused.
type Refusal struct {
	// Status is the HTTP status, zero for a refusal within a stream.
	Status int `json:"-"`
	// Code is the reason of the documented list.
	Code string `json:"code"`
	// Message is a sentence on the reason.
	Message string `json:"message"`
	// Ran is "no" if it is certain that the call did not run, else "unknown".
	Ran string `json:"ran"`
	// RetryAt is the instant to come back at, zero if there is none.
	RetryAt time.Time `json:"retry_at,omitzero"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// elsewhere reports whether the refusal holds for the router only, so that another one may accept the call.
func (r *Refusal) elsewhere() bool {
	return r.Code == "shutting_down" || r.Code == "isolated"
}

// passing reports whether the reason is a limit or an outage that may soon be over.
func (r *Refusal) passing() bool {
	return r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
}
