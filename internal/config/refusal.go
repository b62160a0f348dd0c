package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// publishRetryDelay is the time after which an operator may retry a change that did not reach the log or whose outcome is
// unknown.
const publishRetryDelay = 5 * time.Second

// Refusal returns the refusal of a published change, or nil if it took effect. A change with OutcomeUnsettled is refused
// too although it may have taken effect; its operator can safely send it again with the same id.
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
		return refused.WithRetryAt(now.Add(publishRetryDelay))
	default:
		refused := refusal.New(refusal.OutcomeUnknown, "the change may have taken effect; send it again with the same id")
		return refused.WithExecutionUnknown().WithRetryAt(now.Add(publishRetryDelay))
	}
}
