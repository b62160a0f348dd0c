package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	// maxAttempts is the maximum number of attempts of one call, each at another target. Attempts that this router did not
	// send because the deadline of the grant had passed do not count.
	maxAttempts = 4
	// maxReattachAttempts is the number of attempts to resume a broken stream before its target counts as crashed.
	maxReattachAttempts = 3
	// reattachDelay is the pause after each of these attempts.
	reattachDelay = 300 * time.Millisecond
	// crashMergeWindow applies to a target that does not report its incarnation: all its crashes within one interval of this
	// length count as one crash.
	crashMergeWindow = 30 * time.Second
)

// modelCall is one model call, from its submission to the queue until the end of its stream. Apart from decisions, answer and
// servedUnits, its fields are used by one goroutine at a time: the handler's, then the one that fills the answer. An
// action that this goroutine passes to runInLoop may use them too, because the goroutine waits until it has returned.
type modelCall struct {
	router *Router
	// requestID is the id of the call's request in the queue.
	requestID      uint64
	customerNumber uint32
	customerName   string
	// fingerprint is a hash of customer, model and prompt, by which calls that crash targets are recognized.
	fingerprint  uint64
	promptTokens int
	engineCall   external.GenerateRequest
	// deadline is the instant at which the caller gives up, or zero if there is none.
	deadline  time.Time
	decisions chan requestqueue.Decision
	answer    *answerBuffer
	// servedUnits is the cost of the current attempt so far, in milli-units.
	servedUnits    atomic.Uint64
	failedAttempts int
	// target, address and incarnation are those of the current attempt. The incarnation is empty if it is not known.
	target      string
	address     string
	incarnation string
}

// streamContext returns the context for requests to targets. It ends at the caller's deadline but not when the caller
// disconnects, so that the caller can resume the stream.
func (c *modelCall) streamContext(ctx context.Context) (context.Context, context.CancelFunc) {
	streamCtx := context.WithoutCancel(ctx)
	if c.deadline.IsZero() {
		return context.WithCancel(streamCtx)
	}
	return context.WithDeadline(streamCtx, c.deadline)
}

// submit puts the call's request into the queue. It returns a refusal if the request has crashed targets before and is
// quarantined, or if the queue refuses it.
func (c *modelCall) submit(ctx context.Context, request requestqueue.Request) *refusal.Error {
	var refusalErr *refusal.Error
	err := c.router.runInLoop(ctx, func(now time.Time) {
		verdict := c.router.node.Suspects().Classify(now, c.fingerprint)
		if verdict == suspect.VerdictQuarantined {
			refusalErr = c.refuseQuarantined()
			return
		}
		request.Apart = verdict == suspect.VerdictSuspect
		c.requestID, refusalErr = c.router.node.Queue().Submit(now, request)
		if refusalErr == nil {
			c.router.decisionWaiters[c.requestID] = c.decisions
			c.router.modelCalls[c.requestID] = c
		}
	})
	if err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	return refusalErr
}

// startStream waits for grants and sends the call to the granted targets until one begins to answer. The stream lives as
// long as streamCtx. If ctx ends while the call waits for a grant, the request is cancelled.
func (c *modelCall) startStream(ctx, streamCtx context.Context) (external.Stream, *refusal.Error) {
	defer onPanic(func() { c.finishRequest(fleetpb.Outcome_OUTCOME_CANCELLED) })
	for {
		var decision requestqueue.Decision
		select {
		case decision = <-c.decisions:
		case <-ctx.Done():
			c.finishRequest(fleetpb.Outcome_OUTCOME_CANCELLED)
			return nil, c.markMayHaveRun(refusal.New(refusal.Expired, "the caller has gone"))
		case <-c.router.loopEnded:
			return nil, c.markMayHaveRun(refusal.New(refusal.ShuttingDown, errStopped.Error()))
		}
		if decision.Refusal != nil {
			c.removeWaiter()
			return nil, c.markMayHaveRun(decision.Refusal)
		}
		c.target = decision.Target
		c.incarnation = ""
		stream, err := c.sendToTarget(streamCtx, decision)
		if err == nil {
			c.incarnation = stream.Incarnation()
			return stream, nil
		}
		if streamCtx.Err() != nil && !errors.Is(err, errGrantExpired) {
			return nil, c.expire()
		}
		if refusalErr := c.retryOrRefuse(err); refusalErr != nil {
			return nil, refusalErr
		}
	}
}

// markMayHaveRun marks a refusal to say that the call may have run if an attempt has failed before.
func (c *modelCall) markMayHaveRun(refusalErr *refusal.Error) *refusal.Error {
	if c.failedAttempts > 0 {
		return refusalErr.WithExecutionUnknown()
	}
	return refusalErr
}

// sendToTarget sends the call to the granted target. It returns errGrantExpired if the deadline of the grant has passed.
func (c *modelCall) sendToTarget(streamCtx context.Context, decision requestqueue.Decision) (external.Stream, error) {
	if !time.Now().Before(decision.GrantDeadline) {
		return nil, errGrantExpired
	}
	var address string
	err := c.router.runInLoop(streamCtx, func(time.Time) {
		target, _ := c.router.node.View().Target(decision.Target)
		address = target.Address
	})
	if err != nil {
		return nil, err
	}
	if address == "" {
		return nil, &external.UnavailableError{System: decision.Target, Cause: errTargetNotListed}
	}
	c.address = address
	return c.router.adapters.Engine(decision.Target, address).Generate(streamCtx, c.engineCall)
}

// retryOrRefuse handles a failed attempt: it puts the request back into the queue, or ends it and returns a refusal if the
// request is quarantined or has no attempts left. A target that crashed makes the request a suspect.
func (c *modelCall) retryOrRefuse(err error) *refusal.Error {
	reason, outcome, avoid := classifyAttempt(err, c.target)
	c.router.metrics.CountRetry(reason)
	event.Retried.Log(c.router.logger, string(reason), c.customerName, c.target)
	crashed := outcome == fleetpb.Outcome_OUTCOME_CRASHED
	if reason != metric.RetryLate {
		c.failedAttempts++
	}
	verdict := suspect.VerdictClear
	loopErr := c.router.runInLoop(context.Background(), func(now time.Time) {
		if crashed {
			c.recordCrash(now, err)
		}
		verdict = c.router.node.Suspects().Classify(now, c.fingerprint)
		if verdict != suspect.VerdictQuarantined && c.failedAttempts < maxAttempts {
			c.router.node.Queue().Requeue(now, c.requestID, outcome, avoid, verdict == suspect.VerdictSuspect)
		}
	})
	switch {
	case loopErr != nil:
		return refusal.New(refusal.ShuttingDown, loopErr.Error()).WithExecutionUnknown()
	case verdict == suspect.VerdictQuarantined:
		c.finishRequest(outcome)
		return c.refuseQuarantined()
	case c.failedAttempts >= maxAttempts:
		c.finishRequest(outcome)
		refusalErr := refusal.Newf(refusal.TargetFailed, "%d targets failed, the last with: %v", c.failedAttempts, err)
		return refusalErr.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
	}
	c.engineCall.StreamID = newStreamID(c.customerNumber)
	return nil
}

// copyToAnswer copies the tokens of the stream into the answer until the call has ended. If the target crashes before the
// caller has received anything, another target runs the call from the start.
func (c *modelCall) copyToAnswer(streamCtx context.Context, stream external.Stream) {
	for {
		err := c.readStream(streamCtx, stream)
		if err == nil {
			c.finishRequest(fleetpb.Outcome_OUTCOME_DONE)
			c.answer.end(nil)
			return
		}
		if streamCtx.Err() != nil {
			c.answer.end(c.expire())
			return
		}
		if !c.answer.restart("") {
			c.endCrashed(err)
			return
		}
		c.servedUnits.Store(0)
		if refusalErr := c.retryOrRefuse(err); refusalErr != nil {
			c.answer.end(refusalErr)
			return
		}
		next, refusalErr := c.startStream(streamCtx, streamCtx)
		if refusalErr != nil {
			c.answer.end(refusalErr)
			return
		}
		c.answer.restart(formatResumeToken(c.target, c.engineCall.StreamID))
		stream = next
	}
}

// readStream copies the tokens of a stream into the answer until its end. A stream that breaks is resumed; readStream
// returns the error that broke it if that fails.
func (c *modelCall) readStream(streamCtx context.Context, stream external.Stream) error {
	var nextIndex int64
	for {
		token, err := stream.Next()
		switch {
		case err == nil && token.Index == nextIndex:
			nextIndex++
			c.answer.addToken(token)
			c.servedUnits.Store(requestqueue.TokenCost(c.promptTokens, int(nextIndex)))
		case err == nil:
			err = &external.CrashedError{Target: c.target, Cause: errTokenMissing}
		case errors.Is(err, io.EOF):
			return stream.Close()
		}
		if err == nil {
			continue
		}
		_ = stream.Close()
		resumed, resumeErr := c.reattach(streamCtx, nextIndex)
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

// reattach resumes the call's stream at the given token index. It stops early if the target does not know the stream or the
// context ends.
func (c *modelCall) reattach(streamCtx context.Context, nextIndex int64) (external.Stream, error) {
	var lastErr error
	for range maxReattachAttempts {
		stream, err := c.router.adapters.Engine(c.target, c.address).Resume(streamCtx, c.engineCall.StreamID, nextIndex)
		if err == nil {
			c.router.metrics.CountRetry(metric.RetryResumed)
			event.Resumed.Log(c.router.logger, c.customerName, c.target, nextIndex)
			return stream, nil
		}
		lastErr = err
		var rejected *external.RejectedError
		if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
			return nil, err
		}
		if !sleep(streamCtx, reattachDelay) {
			return nil, streamCtx.Err()
		}
	}
	return nil, lastErr
}

// expire ends a call whose deadline has passed after it was sent, and frees its slot. The passed deadline is not taken for a
// crash of the target. The stream is cancelled in the background.
func (c *modelCall) expire() *refusal.Error {
	c.router.tasks.Go(c.cancelStream)
	c.finishRequest(fleetpb.Outcome_OUTCOME_CANCELLED)
	return refusal.New(refusal.Expired, "the deadline has passed during the answer").WithExecutionUnknown()
}

// cancelStream asks the target to end the call's stream, and logs an error.
func (c *modelCall) cancelStream() {
	timeoutCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(shortCallTimeout))
	defer cancel()
	if err := c.router.adapters.Engine(c.target, c.address).Cancel(timeoutCtx, c.engineCall.StreamID); err != nil {
		event.Abandoned.Log(c.router.logger, c.customerName, c.target, err)
	}
}

// endCrashed ends a call whose target crashed when the caller may already have received a part of the answer.
func (c *modelCall) endCrashed(err error) {
	c.router.runInLoopUnlessStopped(func(now time.Time) { c.recordCrash(now, err) })
	c.finishRequest(fleetpb.Outcome_OUTCOME_CRASHED)
	refusalErr := refusal.Newf(refusal.TargetFailed, "the target failed during the answer: %v", err)
	c.answer.end(refusalErr.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second)))
}

// recordCrash records and logs that the call was running on a target that crashed. It runs in the tick loop.
func (c *modelCall) recordCrash(now time.Time, err error) {
	event.TargetCrashed.Log(c.router.logger, c.target, err)
	event.SuspectFound.Log(c.router.logger, c.fingerprint, c.customerName, c.target)
	c.router.node.Suspects().RecordCrash(now, c.target, c.crashID(now), []uint64{c.fingerprint})
}

// refuseQuarantined logs and returns the refusal of a request that has crashed two targets.
func (c *modelCall) refuseQuarantined() *refusal.Error {
	event.SuspectRefused.Log(c.router.logger, c.fingerprint, c.customerName)
	return refusal.New(refusal.Quarantined, "the request has crashed two targets").WithExecutionUnknown()
}

// crashID returns an id for a crash of the call's target that is the same at all routers. If the incarnation is not known,
// all crashes of the target in one interval of crashMergeWindow have the same id.
func (c *modelCall) crashID(now time.Time) string {
	if c.incarnation != "" {
		return c.target + "/" + c.incarnation
	}
	return c.target + "/" + now.Truncate(crashMergeWindow).Format(time.RFC3339)
}

// finishRequest ends the call's request in the queue and removes its waiter.
func (c *modelCall) finishRequest(outcome fleetpb.Outcome) {
	c.router.runInLoopUnlessStopped(func(now time.Time) {
		c.router.node.Queue().Finish(now, c.requestID, c.servedUnits.Load(), outcome)
		delete(c.router.decisionWaiters, c.requestID)
		delete(c.router.modelCalls, c.requestID)
	})
}

// removeWaiter removes the waiter of a request that the queue has already ended with a refusal.
func (c *modelCall) removeWaiter() {
	c.router.runInLoopUnlessStopped(func(time.Time) {
		delete(c.router.decisionWaiters, c.requestID)
		delete(c.router.modelCalls, c.requestID)
	})
}

// reportProgress tells the queue the cost of the running model calls so far. It runs in the tick loop.
func (r *Router) reportProgress(now time.Time) {
	for id, call := range r.modelCalls {
		if units := call.servedUnits.Load(); units > 0 {
			r.node.Queue().RecordProgress(now, id, units)
		}
	}
}
