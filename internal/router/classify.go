package router

import (
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Causes of attempts that failed at this router.
var (
	errLate      = errors.New("the grant came after its deadline")
	errNotListed = errors.New("the target is not listed any more")
	errGap       = errors.New("the stream left a token out")
)

// classify returns why an attempt failed, how the run ended, and which target the next attempt must avoid.
func classify(err error, target string) (metric.RetryReason, fleetpb.Outcome, []string) {
	var unavailable *outside.UnavailableError
	var rejected *outside.RejectedError
	switch {
	case errors.Is(err, errLate):
		return metric.RetryLate, fleetpb.Outcome_OUTCOME_UNUSED, nil
	case errors.As(err, &unavailable):
		return metric.RetryUnreachable, fleetpb.Outcome_OUTCOME_UNUSED, []string{target}
	case errors.As(err, &rejected):
		return metric.RetryRejected, fleetpb.Outcome_OUTCOME_UNUSED, []string{target}
	default:
		return metric.RetryCrashed, fleetpb.Outcome_OUTCOME_CRASHED, []string{target}
	}
}

// endOf returns how an attached stream ended: nil if the answer is whole.
func endOf(err error) *refusal.Error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	refused := refusal.Newf(refusal.TargetFailed, "the stream broke off: %v", err)
	return refused.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
}
