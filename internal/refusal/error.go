package refusal

import (
	"fmt"
	"time"
)

// Execution tells whether a refused request ran.
type Execution string

// Values of Ran.
const (
	// NotExecuted is said only if it is certain that the request did not run and will not.
	NotExecuted Execution = "no"
	// ExecutionUnknown is said in all other cases.
	ExecutionUnknown Execution = "unknown"
)

// Error is a refusal.
type Error struct {
	// Code is the reason.
	Code Code
	// Message is a sentence for the caller.
	Message string
	// Execution tells whether the request ran.
	Execution Execution
	// RetryAt is the instant to come back at, zero if coming back makes no sense.
	RetryAt time.Time
	// ConfigVersion is the current configuration version of a stale change, else zero.
	ConfigVersion uint64
}

// New returns a refusal of a request that did not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Execution: NotExecuted}
}

// Newf returns a refusal of a request that did not run, with a formatted message.
func Newf(code Code, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...))
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// WithRetryAt returns a copy that says when to come back.
func (e *Error) WithRetryAt(at time.Time) *Error {
	changed := *e
	changed.RetryAt = at
	return &changed
}

// WithExecutionUnknown returns a copy that says that the request may have run.
func (e *Error) WithExecutionUnknown() *Error {
	changed := *e
	changed.Execution = ExecutionUnknown
	return &changed
}

// WithConfigVersion returns a copy that carries the current configuration version.
func (e *Error) WithConfigVersion(version uint64) *Error {
	changed := *e
	changed.ConfigVersion = version
	return &changed
}
