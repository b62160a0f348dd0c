package claim

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Verdict is the outcome of one claim. Each claim gets exactly one.
type Verdict struct {
	// ClaimID is the id that Holder.Claim returned.
	ClaimID string
	// Outcome is what became of the claim.
	Outcome Outcome
	// Ran tells for a refusal whether the key's request ran.
	Ran refusal.Ran
	// Fence is the log offset of the holding claim, for Held.
	Fence uint64
	// Status is the status of the stored answer, for Replay.
	Status uint32
	// Answer is the stored answer, for Replay.
	Answer []byte
	// RetryAt is the instant to come back at; zero if coming back makes no sense.
	RetryAt time.Time
}

// refusals maps outcomes to codes and sentences for the caller.
var refusals = map[Outcome]refusal.Error{
	OutcomeBusy:    {Code: refusal.KeyBusy, Message: "another request with this key is in progress"},
	OutcomeUnknown: {Code: refusal.OutcomeUnknown, Message: "it is not known whether the request with this key ran"},
	Conflict:       {Code: refusal.KeyConflict, Message: "the key was used with another request"},
	Unavailable:    {Code: refusal.LogUnavailable, Message: "the log of claims is unavailable"},
	Invalid:        {Code: refusal.KeyInvalid, Message: "the key is not a UUID of version 7 made just now"},
	Expired:        {Code: refusal.KeyExpired, Message: "the key is too old"},
}

// Refusal returns the refusal for the caller, or nil for Held and Replay.
func (v Verdict) Refusal() *refusal.Error {
	refused, found := refusals[v.Outcome]
	if !found {
		return nil
	}
	refused.Ran, refused.RetryAt = v.Ran, v.RetryAt
	return &refused
}
