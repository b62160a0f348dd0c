package claim

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Verdict is the final answer to one claim. A claim gets at most one, and none if it is abandoned first.
type Verdict struct {
	// ClaimID is the id that Claimer.Claim returned.
	ClaimID string
	// Outcome is the result of the claim.
	Outcome Outcome
	// Ran says whether the request of the key ran, for outcomes that refuse the request.
	Ran refusal.Execution
	// Fence is the log offset of the claim, used as a fencing token, for OutcomeHeld.
	Fence uint64
	// Status is the status of the stored answer, for OutcomeReplay.
	Status uint32
	// Answer is the stored answer, for OutcomeReplay.
	Answer []byte
	// RetryAt is the earliest time at which a retry is useful; zero if a retry cannot change the outcome.
	RetryAt time.Time
}

// refusalsByOutcome maps outcomes to the codes and messages that the caller gets.
var refusalsByOutcome = map[Outcome]refusal.Error{
	OutcomeBusy:        {Code: refusal.KeyBusy, Message: "another request with this key is in progress"},
	OutcomeUnknown:     {Code: refusal.OutcomeUnknown, Message: "it is not known whether the request with this key ran"},
	OutcomeConflict:    {Code: refusal.KeyConflict, Message: "the key was used with another request"},
	OutcomeUnavailable: {Code: refusal.LogUnavailable, Message: "the log of claims is unavailable"},
	OutcomeInvalid:     {Code: refusal.KeyInvalid, Message: "the key is not a UUID of version 7 made just now"},
	OutcomeExpired:     {Code: refusal.KeyExpired, Message: "the key is too old"},
}

// Refusal returns the refusal for the caller, or nil for OutcomeHeld and OutcomeReplay.
func (v Verdict) Refusal() *refusal.Error {
	result, found := refusalsByOutcome[v.Outcome]
	if !found {
		return nil
	}
	result.Execution, result.RetryAt = v.Ran, v.RetryAt
	return &result
}
