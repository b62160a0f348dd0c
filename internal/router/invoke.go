package router

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

// defaultInvokeTimeout is the time from arrival to deadline of a service call that sets no deadline.
const defaultInvokeTimeout = 30 * time.Second

// storeAnswerTimeout is the maximum time for which an answer is held back until it is stored. Two appends to a slow log fit.
const storeAnswerTimeout = time.Second

// errClaimLapsed is the error of a keyed call that is not sent because its claim no longer permits it.
var errClaimLapsed = errors.New("the claim has lapsed")

// invocation is one call of a plain service. A keyed call is one of an operation that is not idempotent: it claims its
// Idempotency-Key and runs at most once.
type invocation struct {
	router   *Router
	customer config.ResolvedCustomer
	service  string
	request  external.InvokeRequest
	// atMostOnce is set for a keyed call. Until the configuration is looked up, it is assumed of every call that has a key.
	atMostOnce bool
	// claimID is the id of the claim of a keyed call.
	claimID string
	// requestID is the id of the call's request in the queue.
	requestID      uint64
	decisions      chan requestqueue.Decision
	deadline       time.Time
	failedAttempts int
	// mayHaveRun is set if a replica may have run the call although its attempt failed.
	mayHaveRun bool
}

// Invoke calls an operation of a plain service; it implements oas.Handler. For a keyed call whose answer is stored already,
// it returns that answer.
func (r *Router) Invoke(
	ctx context.Context, request *oas.InvokeRequest, params oas.InvokeParams,
) (*oas.InvokeResponse, error) {
	r.openCalls.Add(1)
	defer r.openCalls.Add(-1)
	inv, class, refusalErr := r.newInvocation(ctx, request, params)
	if refusalErr == nil {
		refusalErr = r.checkAdmission(ctx)
	}
	if refusalErr != nil {
		return nil, inv.markMayHaveRun(refusalErr)
	}
	if inv.atMostOnce {
		replayed, refusalErr := inv.claimKey(ctx)
		if replayed != nil {
			return replayed, nil
		}
		if refusalErr != nil {
			return nil, refusalErr
		}
	}
	result, refusalErr := inv.sendUntilAnswered(ctx, class, len(request.Arguments.Value))
	if refusalErr != nil {
		return nil, refusalErr
	}
	return &oas.InvokeResponse{Result: result}, nil
}

// newInvocation checks a call against the configuration and returns it with the class of its request. The returned call is
// not nil even if it is refused.
func (r *Router) newInvocation(
	ctx context.Context, request *oas.InvokeRequest, params oas.InvokeParams,
) (*invocation, string, *refusal.Error) {
	now := time.Now()
	inv := &invocation{
		router:     r,
		customer:   customerFromContext(ctx),
		service:    params.Service,
		request:    external.InvokeRequest{Operation: params.Operation, Arguments: request.Arguments.Value},
		atMostOnce: params.IdempotencyKey.Or("") != "",
		decisions:  make(chan requestqueue.Decision, 1),
		deadline:   request.Deadline.Or(now.Add(defaultInvokeTimeout)),
	}
	var known, idempotent, found bool
	err := r.runInLoop(ctx, func(time.Time) {
		known = r.node.Store().State().HasService(params.Service)
		idempotent, found = r.node.Store().State().Idempotent(params.Service, params.Operation)
	})
	class := request.Class.Or(inv.customer.LeastPatientClass())
	switch {
	case err != nil:
		return inv, "", refusal.New(refusal.ShuttingDown, err.Error())
	case !known:
		return inv, "", refusal.Newf(refusal.UnknownService, "no service %q is configured", params.Service)
	case !found:
		return inv, "", refusal.Newf(refusal.UnknownOperation, "service %q has no operation %q",
			params.Service, params.Operation)
	case !inv.deadline.After(now):
		return inv, "", refusal.New(refusal.DeadlinePast, "the deadline has passed")
	case !idempotent && !inv.atMostOnce:
		return inv, "", refusal.Newf(refusal.KeyMissing, "operation %q needs an Idempotency-Key", params.Operation)
	}
	if _, ok := inv.customer.Class(class); !ok {
		return inv, "", refusal.Newf(refusal.UnknownClass, "the customer has no class %q", class)
	}
	inv.atMostOnce = !idempotent
	inv.request.IdempotencyKey = params.IdempotencyKey.Or("")
	return inv, class, r.checkTarget(ctx, params.Service, refusal.NoTarget)
}

// markMayHaveRun marks a refusal to say that the call may have run if an earlier attempt of it, or another call with its
// key, may have done so.
func (inv *invocation) markMayHaveRun(refusalErr *refusal.Error) *refusal.Error {
	if inv.atMostOnce || inv.mayHaveRun {
		return refusalErr.WithExecutionUnknown()
	}
	return refusalErr
}

// claimKey claims the call's key and waits for the verdict. It returns the stored answer of an earlier call with the key, or
// a refusal, or nil and nil if the claim holds the key and the call may be sent.
func (inv *invocation) claimKey(ctx context.Context) (*oas.InvokeResponse, *refusal.Error) {
	body, err := json.Marshal([]any{inv.service, inv.request.Operation, inv.request.Arguments})
	if err != nil {
		return nil, inv.markMayHaveRun(refusal.New(refusal.Malformed, err.Error()))
	}
	hash := sha256.Sum256(body)
	verdicts := make(chan claim.Verdict, 1)
	err = inv.router.runInLoop(ctx, func(now time.Time) {
		inv.claimID = inv.router.node.Claimer().Claim(now, claim.Request{
			Key: inv.request.IdempotencyKey, Customer: inv.customer.Number, BodyHash: hash[:], Deadline: inv.deadline,
		})
		inv.router.claimWaiters[inv.claimID] = verdicts
	})
	if err != nil {
		return nil, inv.markMayHaveRun(refusal.New(refusal.ShuttingDown, err.Error()))
	}
	select {
	case verdict := <-verdicts:
		return inv.resolveClaim(verdict)
	case <-ctx.Done():
		return nil, inv.abandonClaim(refusal.New(refusal.Expired, "the caller has gone"))
	case <-inv.router.loopEnded:
		return nil, inv.markMayHaveRun(refusal.New(refusal.ShuttingDown, errStopped.Error()))
	}
}

// resolveClaim returns what claimKey returns for a verdict. If the claim holds the key, it sets the fencing token of the
// call.
func (inv *invocation) resolveClaim(verdict claim.Verdict) (*oas.InvokeResponse, *refusal.Error) {
	switch verdict.Outcome {
	case claim.OutcomeHeld:
		// The fence of a verdict is a log offset and can be zero, but a fencing token of zero means that there is none.
		inv.request.FencingToken = verdict.Fence + 1
		inv.request.SendDeadline = inv.deadline
		return nil, nil
	case claim.OutcomeReplay:
		result := make(oas.InvokeResponseResult)
		if err := json.Unmarshal(verdict.Answer, &result); err != nil {
			return nil, refusal.New(refusal.Internal, "the stored answer cannot be read").WithExecutionUnknown()
		}
		return &oas.InvokeResponse{Result: result, Replayed: true}, nil
	case claim.OutcomeUnknown:
		event.ClaimUnknown.Log(inv.router.logger, inv.claimID, "another claim holds the key")
	case claim.OutcomeBusy:
		event.ClaimLost.Log(inv.router.logger, inv.claimID)
	default:
	}
	return nil, verdict.Refusal()
}

// abandonClaim gives up the claim of a keyed call that ends with a refusal. It marks the refusal to say that the call may
// have run unless it is certain that no call with the key did.
func (inv *invocation) abandonClaim(refusalErr *refusal.Error) *refusal.Error {
	if inv.mayHaveRun {
		return refusalErr.WithExecutionUnknown()
	}
	if !inv.atMostOnce {
		return refusalErr
	}
	execution := refusal.ExecutionUnknown
	inv.router.runInLoopUnlessStopped(func(now time.Time) {
		delete(inv.router.claimWaiters, inv.claimID)
		execution = inv.router.node.Claimer().Abandon(now, inv.claimID)
	})
	if execution != refusal.NotExecuted {
		return refusalErr.WithExecutionUnknown()
	}
	return refusalErr
}

// sendUntilAnswered puts the call into the queue and sends it to the granted replicas until one answers or the call is
// refused. The queue counts argumentCount as the size of the request.
func (inv *invocation) sendUntilAnswered(
	ctx context.Context, class string, argumentCount int,
) (oas.InvokeResponseResult, *refusal.Error) {
	var refusalErr *refusal.Error
	request := requestqueue.Request{
		Customer: inv.customer.Number, Model: inv.service, Class: class, IsService: true, BodyBytes: argumentCount,
		Deadline: inv.deadline,
	}
	err := inv.router.runInLoop(ctx, func(now time.Time) {
		inv.requestID, refusalErr = inv.router.node.Queue().Submit(now, request)
		if refusalErr == nil {
			inv.router.decisionWaiters[inv.requestID] = inv.decisions
		}
	})
	if err != nil {
		refusalErr = refusal.New(refusal.ShuttingDown, err.Error())
	}
	if refusalErr != nil {
		return nil, inv.abandonClaim(refusalErr)
	}
	defer inv.removeWaiter()
	defer onPanic(func() { inv.finishRequest(0, fleetpb.Outcome_OUTCOME_CANCELLED) })
	for {
		select {
		case decision := <-inv.decisions:
			if decision.Refusal != nil {
				return nil, inv.abandonClaim(decision.Refusal)
			}
			result, refusalErr, retry := inv.attempt(decision)
			if !retry {
				return result, refusalErr
			}
		case <-ctx.Done():
			inv.finishRequest(0, fleetpb.Outcome_OUTCOME_CANCELLED)
			return nil, inv.abandonClaim(refusal.New(refusal.Expired, "the caller has gone"))
		case <-inv.router.loopEnded:
			return nil, inv.markMayHaveRun(refusal.New(refusal.ShuttingDown, errStopped.Error()))
		}
	}
}

// attempt sends the call to the granted replica. It returns true if the attempt failed and the request is back in the queue.
// A keyed call is put back only if the failed attempt did not run.
func (inv *invocation) attempt(decision requestqueue.Decision) (oas.InvokeResponseResult, *refusal.Error, bool) {
	result, err := inv.sendToReplica(decision)
	if err == nil {
		inv.finishRequest(requestqueue.ServiceCost(), fleetpb.Outcome_OUTCOME_DONE)
		inv.storeAnswer(result)
		return result, nil, false
	}
	if errors.Is(err, errClaimLapsed) {
		inv.finishRequest(0, fleetpb.Outcome_OUTCOME_UNUSED)
		refusalErr := refusal.New(refusal.Expired, "the claim of the key has lapsed before a slot was free")
		return nil, inv.abandonClaim(refusalErr.WithRetryAt(time.Now().Add(time.Second))), false
	}
	reason, outcome, avoid := classifyAttempt(err, decision.Target)
	inv.router.metrics.CountRetry(reason)
	event.Retried.Log(inv.router.logger, string(reason), inv.customer.Name, decision.Target)
	crashed := reason == metric.RetryCrashed
	inv.mayHaveRun = inv.mayHaveRun || crashed
	if crashed && inv.atMostOnce {
		inv.finishRequest(0, outcome)
		refusalErr := refusal.Newf(refusal.OutcomeUnknown, "the service broke off the call: %v", err)
		return nil, refusalErr.WithExecutionUnknown(), false
	}
	if !crashed && inv.atMostOnce && !errors.Is(err, errGrantExpired) {
		inv.router.runInLoopUnlessStopped(func(now time.Time) { inv.router.node.Claimer().MarkNotRun(now, inv.claimID) })
	}
	if reason != metric.RetryLate {
		inv.failedAttempts++
	}
	if inv.failedAttempts >= maxAttempts {
		inv.finishRequest(0, outcome)
		return nil, inv.refuseAfterLastAttempt(err), false
	}
	inv.router.runInLoopUnlessStopped(func(now time.Time) {
		inv.router.node.Queue().Requeue(now, inv.requestID, outcome, avoid, false)
	})
	return nil, nil, true
}

// refuseAfterLastAttempt abandons the claim and returns the refusal of a call whose last attempt ended with an error.
func (inv *invocation) refuseAfterLastAttempt(err error) *refusal.Error {
	refusalErr := refusal.Newf(refusal.TargetFailed, "%d replicas failed, the last with: %v", inv.failedAttempts, err)
	var rejected *external.RejectedError
	if errors.As(err, &rejected) {
		refusalErr = refusal.Newf(refusal.TargetRejected, "the service refused: %s", rejected.Reason)
	}
	return inv.abandonClaim(refusalErr.WithRetryAt(time.Now().Add(time.Second)))
}

// sendToReplica sends the call to the granted replica and returns the result. It returns errGrantExpired if the deadline of
// the grant has passed, the replica is no longer listed or the router has stopped, and errClaimLapsed if the claim of a
// keyed call does not permit the request. In these cases nothing was sent.
func (inv *invocation) sendToReplica(decision requestqueue.Decision) (map[string]string, error) {
	timeoutCtx, cancel := context.WithDeadline(context.Background(), inv.deadline.Add(deadlineSlack))
	defer cancel()
	var address string
	var sendErr error
	err := inv.router.runInLoop(timeoutCtx, func(now time.Time) {
		target, _ := inv.router.node.View().Target(decision.Target)
		address = target.Address
		switch {
		case address == "" || !now.Before(decision.GrantDeadline):
			sendErr = errGrantExpired
		case inv.atMostOnce && !inv.router.node.Claimer().AuthorizeSend(now, inv.claimID):
			sendErr = errClaimLapsed
		}
	})
	if err != nil {
		return nil, errGrantExpired
	}
	if sendErr != nil {
		return nil, sendErr
	}
	return inv.router.adapters.Service(decision.Target, address).Invoke(timeoutCtx, inv.request)
}

// storeAnswer stores the answer of a keyed call and waits until it is stored, so that a caller that repeats the call
// immediately, or after a crash of this router, gets the same answer. It waits for storeAnswerTimeout at most, since the
// answer is valid even if the log is down.
func (inv *invocation) storeAnswer(result map[string]string) {
	if !inv.atMostOnce {
		return
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		encoded = []byte("{}")
	}
	stored := make(chan struct{})
	inv.router.runInLoopUnlessStopped(func(now time.Time) {
		inv.router.node.Claimer().Complete(now, inv.claimID, http.StatusOK, encoded)
		inv.router.storedWaiters[inv.claimID] = stored
	})
	timer := time.NewTimer(storeAnswerTimeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
		inv.router.runInLoopUnlessStopped(func(time.Time) { delete(inv.router.storedWaiters, inv.claimID) })
	case <-inv.router.loopEnded:
	}
}

// finishRequest ends the call's request in the queue. units is the cost of the call, in milli-units.
func (inv *invocation) finishRequest(units uint64, outcome fleetpb.Outcome) {
	inv.router.runInLoopUnlessStopped(func(now time.Time) {
		inv.router.node.Queue().Finish(now, inv.requestID, units, outcome)
	})
}

// removeWaiter stops the delivery of decisions to the call.
func (inv *invocation) removeWaiter() {
	inv.router.runInLoopUnlessStopped(func(time.Time) { delete(inv.router.decisionWaiters, inv.requestID) })
}
