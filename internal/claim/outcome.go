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
	// Conflict means that the key was used with another body or by another customer.
	Conflict Outcome = "conflict"
	// Unavailable means that the log cannot be read or written.
	Unavailable Outcome = "unavailable"
	// Invalid means that the key is no UUID of version 7 or from the future.
	Invalid Outcome = "invalid"
	// Expired means that the key is older than the claim window.
	Expired Outcome = "expired"
)
