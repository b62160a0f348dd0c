package refusal

import (
	"fmt"
	"time"
)

// Execution tells whether a refused request ran on a target. Its text is the value of the field "ran" in responses.
type Execution string

// Values of Execution.
const (
	// NotExecuted is used only if it is certain that the request did not run and will not run.
	NotExecuted Execution = "no"
	// ExecutionUnknown is used in all other cases.
	ExecutionUnknown Execution = "unknown"
)

// Error is a refusal. The With methods return changed copies, so that a shared refusal is never modified.
type Error struct {
	// Code is the reason of the refusal.
	Code Code
	// Message describes the reason for the caller.
	Message string
	// Execution tells whether the request may have run.
	Execution Execution
	// RetryAt is the time at which the caller should retry, zero if a retry makes no sense.
	RetryAt time.Time
	// ConfigVersion is the current configuration version if a stale change is refused, else zero.
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

// Error returns the code and the message, separated by a colon.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// WithRetryAt returns a copy with the time at which the caller should retry.
func (e *Error) WithRetryAt(at time.Time) *Error {
	changed := *e
	changed.RetryAt = at
	return &changed
}

// WithExecutionUnknown returns a copy for a request that may have run.
func (e *Error) WithExecutionUnknown() *Error {
	changed := *e
	changed.Execution = ExecutionUnknown
	return &changed
}

// WithConfigVersion returns a copy with the current configuration version.
func (e *Error) WithConfigVersion(version uint64) *Error {
	changed := *e
	changed.ConfigVersion = version
	return &changed
}
