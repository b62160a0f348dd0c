package refusal

import (
	"fmt"
	"time"
)

// Ran tells whether a refused request ran.
type Ran string

// Values of Ran.
const (
	// RanNo is said only if it is certain that the request did not run and will not.
	RanNo Ran = "no"
	// RanUnknown is said in all other cases.
	RanUnknown Ran = "unknown"
)

// Error is a refusal.
type Error struct {
	// Code is the reason.
	Code Code
	// Message is a sentence for the caller.
	Message string
	// Ran tells whether the request ran.
	Ran Ran
	// RetryAt is the instant to come back at, zero if coming back makes no sense.
	RetryAt time.Time
	// Version is the current configuration version of a stale change, else zero.
	Version uint64
}

// New returns a refusal of a request that did not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo}
}

// Newf returns a refusal of a request that did not run, with a formatted message.
func Newf(code Code, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...))
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// WithRetry returns a copy that says when to come back.
func (e *Error) WithRetry(at time.Time) *Error {
	changed := *e
	changed.RetryAt = at
	return &changed
}

// WithUnknown returns a copy that says that the request may have run.
func (e *Error) WithUnknown() *Error {
	changed := *e
	changed.Ran = RanUnknown
	return &changed
}

// WithVersion returns a copy that carries the current configuration version.
func (e *Error) WithVersion(version uint64) *Error {
	changed := *e
	changed.Version = version
	return &changed
}
