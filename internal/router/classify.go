package router

import (
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Errors of attempts that this router ended itself.
var (
	errGrantExpired    = errors.New("the grant came after its deadline")
	errTargetNotListed = errors.New("the target is not listed any more")
	errTokenMissing    = errors.New("the stream left a token out")
)

// classifyAttempt returns the reason for which a failed attempt is counted as a retry, the outcome that the queue reports to
// the scheduler, and the targets that the next attempt must avoid. An error that does not rule out that the target ran the
// call counts as a crash of the target.
func classifyAttempt(err error, target string) (metric.RetryReason, fleetpb.Outcome, []string) {
	var unavailable *external.UnavailableError
	var rejected *external.RejectedError
	switch {
	case errors.Is(err, errGrantExpired):
		return metric.RetryLate, fleetpb.Outcome_OUTCOME_UNUSED, nil
	case errors.As(err, &unavailable):
		return metric.RetryUnreachable, fleetpb.Outcome_OUTCOME_UNUSED, []string{target}
	case errors.As(err, &rejected):
		return metric.RetryRejected, fleetpb.Outcome_OUTCOME_UNUSED, []string{target}
	default:
		return metric.RetryCrashed, fleetpb.Outcome_OUTCOME_CRASHED, []string{target}
	}
}

// streamEndRefusal returns the refusal for the error that ended a resumed stream, or nil for io.EOF, after which the answer
// is complete.
func streamEndRefusal(err error) *refusal.Error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	refusalErr := refusal.Newf(refusal.TargetFailed, "the stream broke off: %v", err)
	return refusalErr.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
}
