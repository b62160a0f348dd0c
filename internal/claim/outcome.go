package claim

// Outcome is what became of a claim.
type Outcome string

// Outcomes of claims.
const (
	// OutcomeHeld means that the request may be sent, see Holder.AuthorizeSend.
	OutcomeHeld Outcome = "held"
	// OutcomeReplay means that the key has a stored answer.
	OutcomeReplay Outcome = "replay"
	// OutcomeBusy means that another claim holds the key and its deadline has not passed.
	OutcomeBusy Outcome = "busy"
	// OutcomeUnknown means that nobody can know whether the key ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeConflict means that the key was used with another body or by another customer.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnavailable means that the log cannot be read or written.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeInvalid means that the key is no UUID of version 7 or from the future.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeExpired means that the key is older than the claim window.
	OutcomeExpired Outcome = "expired"
)
