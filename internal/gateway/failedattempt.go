package gateway

import (
	"errors"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// maxUnsentAttempts is the maximum number of attempts per request that reach no target or the wrong one.
	maxUnsentAttempts = 4
	// earlyAnswerTime is the time after the first data of an answer in which a crash of the target may be due to the request.
	earlyAnswerTime = 100 * time.Millisecond
)

// handleSendError handles an attempt that failed before the head of a response arrived. The probe, if the attempt was one, may be sent to
// another target if this one got nothing.
func (x *exchange) handleSendError(decision dispatch.Decision, err error, claimed probe) (retry bool) {
	var unsent *forward.UnsentError
	if !errors.As(err, &unsent) {
		x.sentAttempts++
		return x.handleBrokenAttempt(decision, err)
	}
	x.probe = claimed
	if x.r.Context().Err() != nil {
		x.finishAttempt(decision, dispatch.Cancelled)
		x.abortDisconnected()
		return false
	}
	outcome := dispatch.Unreachable
	if isOwnDelay(err) || isStartMismatch(err) {
		outcome = dispatch.Delayed
	}
	return x.handleUnsent(decision, outcome, err)
}

// handleUnsent handles an attempt of which the target got nothing.
func (x *exchange) handleUnsent(decision dispatch.Decision, outcome dispatch.Outcome, err error) (retry bool) {
	x.unsentAttempts++
	x.finishAttempt(decision, outcome)
	retry = x.unsentAttempts < maxUnsentAttempts && x.beforeDeadline()
	x.logFailedAttempt(decision, outcome, err, retry)
	if retry {
		x.gateway.metrics.CountRetry(metric.RetryUnreachable)
		return true
	}
	x.failRequest(refusal.New(refusal.NoTarget, "no target accepted a connection").WithRetryAt(time.Now().Add(retryAfter)))
	return false
}

// handleRejection handles a response that says that the target did not run the request.
func (x *exchange) handleRejection(decision dispatch.Decision, response *forward.Response) (retry bool) {
	discardRest(response)
	if !response.Info.Misdirected {
		x.sentAttempts++
	}
	outcome := dispatch.Rejected
	if response.Info.Misdirected {
		outcome = dispatch.Misdirected
	}
	x.finishAttempt(decision, outcome)
	retry = x.beforeDeadline() && x.sentAttempts < x.route.MaxAttempts && x.unsentAttempts < maxUnsentAttempts &&
		x.gateway.retryBudgets.takeRetry(x.service)
	if response.Info.Misdirected {
		x.unsentAttempts++
	}
	x.logFailedAttempt(decision, outcome, &rejectedError{status: response.StatusCode}, retry)
	if retry {
		x.gateway.metrics.CountRetry(metric.RetryRejected)
		return true
	}
	x.failRequest(refusal.New(refusal.Overloaded, "the target has no room").WithRetryAt(time.Now().Add(retryAfter)))
	return false
}

// handleBrokenAttempt handles an attempt without a valid response whose request the target may have run.
func (x *exchange) handleBrokenAttempt(decision dispatch.Decision, err error) (retry bool) {
	x.mayHaveRun = true
	outcome := dispatch.Broken
	switch {
	case x.r.Context().Err() != nil:
		x.finishAttempt(decision, dispatch.Cancelled)
		x.abortDisconnected()
		return false
	case isTimeout(err) || !x.beforeDeadline() || x.gateway.ending.Err() != nil:
		outcome = dispatch.Stalled
	}
	x.finishAttempt(decision, outcome)
	if outcome == dispatch.Broken {
		x.gateway.crashes.attemptBroke(decision.Target, x.suspectFingerprints())
	}
	retry = x.takeRetry()
	x.logFailedAttempt(decision, outcome, err, retry)
	if retry {
		x.gateway.metrics.CountRetry(metric.RetryCrashed)
		return true
	}
	if outcome == dispatch.Stalled {
		x.failRequest(refusal.New(refusal.Expired, "the target did not answer in time").WithExecutionUnknown())
	} else {
		x.failRequest(refusal.New(refusal.TargetFailed, "the target broke off the request").WithExecutionUnknown())
	}
	return false
}

// suspectFingerprints returns the fingerprints of the request if the last attempt broke before its answer had well begun, and none
// otherwise: what crashes a target does so when the target begins to work or to answer.
func (x *exchange) suspectFingerprints() []uint64 {
	if !x.firstDataAt.IsZero() && time.Since(x.firstDataAt) > earlyAnswerTime {
		return nil
	}
	return x.fingerprints
}

// takeRetry reports whether a request that may have run can be sent to another target. If so, it takes a retry from the
// budget.
func (x *exchange) takeRetry() bool {
	hasRetry := x.hasRetry
	x.hasRetry = false
	return x.mayRetry(x.sentAttempts) && (hasRetry || x.gateway.retryBudgets.takeRetry(x.service))
}

// mayRetry reports whether a request that was sent to a number of targets may be sent to another one, if the budget allows it.
func (x *exchange) mayRetry(sentAttempts int) bool {
	return x.route.Kind.Retryable() && sentAttempts < x.route.MaxAttempts && x.beforeDeadline()
}

// beforeDeadline reports whether there is time for another attempt.
func (x *exchange) beforeDeadline() bool { return time.Now().Before(x.deadline) }

// logFailedAttempt logs a failed attempt and whether the request is retried.
func (x *exchange) logFailedAttempt(decision dispatch.Decision, outcome dispatch.Outcome, err error, retry bool) {
	event.AttemptFailed.Log(x.gateway.logger, x.info.ID, decision.Target.Name, string(outcome), err, x.sentAttempts, retry,
		time.Since(x.arrivedAt).Milliseconds(), x.customer, x.headReceived, x.sharedPartNames(), string(x.framing), decision.Target.Build)
}

// sharedPartNames returns the hashes of the prompt parts that requests of other sessions may share, for the log.
func (x *exchange) sharedPartNames() []string {
	names := make([]string, 0, len(x.info.PromptParts))
	for _, part := range x.info.SharedParts() {
		names = append(names, strconv.FormatUint(part.ID, 16))
	}
	return names
}
