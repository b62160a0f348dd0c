package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// retryAfter is the time after which an operator may try again to reach the log.
const retryAfter = 5 * time.Second

// Refusal returns why a published change is refused, or nil if it took effect. Only an unsettled change may have taken
// effect in spite of its refusal; its operator sends it again with the same id.
func (r Result) Refusal(now time.Time) *refusal.Error {
	switch r.Outcome {
	case OutcomePublished, OutcomeRepeated:
		return nil
	case OutcomeStale:
		return refusal.Newf(refusal.StaleChange, "the current version is %d", r.Version).WithConfigVersion(r.Version)
	case OutcomeInvalid:
		return refusal.New(refusal.InvalidChange, (&InvalidError{Faults: r.Faults}).Error())
	case OutcomeUnavailable:
		refused := refusal.New(refusal.LogUnavailable, "the log did not take the change")
		return refused.WithRetryAt(now.Add(retryAfter))
	default:
		refused := refusal.New(refusal.OutcomeUnknown, "the change may have taken effect; send it again with the same id")
		return refused.WithExecutionUnknown().WithRetryAt(now.Add(retryAfter))
	}
}
