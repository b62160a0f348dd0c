package load

import "time"

// Failures that are not refusals, as codes of outcomes.
const (
	Unreachable = "unreachable"
	Broken      = "broken"
	Late        = "late"
	Skipped     = "skipped"
)

// Outcome is the end of one call.
type Outcome struct {
	// Code is empty for a whole answer, else the code of the refusal or one of the failures.
	Code string
	// Refused is set if Code is a refusal of a router.
	Refused bool
	// FirstTokenAt is the instant of the first token or of the answer of a service, zero if there was none.
	FirstTokenAt time.Time
	// Resumes counts how many times the answer went on at another router.
	Resumes int
	// Tokens counts the tokens of the answer.
	Tokens int64
}
