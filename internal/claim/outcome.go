package claim

// Outcome is the result of a claim.
type Outcome string

// Outcomes of claims.
const (
	// OutcomeHeld means that the claim holds the key. The request may be sent once Claimer.AuthorizeSend permits it.
	OutcomeHeld Outcome = "held"
	// OutcomeReplay means that an answer is already stored for the key; the verdict contains it.
	OutcomeReplay Outcome = "replay"
	// OutcomeBusy means that another claim holds the key and its deadline has not passed.
	OutcomeBusy Outcome = "busy"
	// OutcomeUnknown means that it cannot be determined whether the request of the key ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeConflict means that the key was used with another body or by another customer.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnavailable means that the claim is not in the log, because the log cannot be read or written or the batcher's
	// memory is full.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeInvalid means that the key is not a UUID of version 7, or that its creation time is in the future.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeExpired means that the key is older than Limits.Window.
	OutcomeExpired Outcome = "expired"
)
