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
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// invokeLimit is the deadline of a service call that names none, counted from its arrival.
const invokeLimit = 30 * time.Second

// storeLimit is how long an answer is held back until it is stored; two appends of a slow log fit.
const storeLimit = time.Second

// errClaimLapsed is the cause of a keyed call whose claim does not permit to send any more.
var errClaimLapsed = errors.New("the claim has lapsed")

// invocation is one call of a plain service.
type invocation struct {
	router    *Router
	caller    config.ResolvedCustomer
	service   string
	call      outside.InvokeRequest
	keyed     bool
	claim     string
	id        uint64
	decisions chan entry.Decision
	deadline  time.Time
	attempts  int
	// sent is set once an attempt may have run.
	sent bool
}

// Invoke calls an operation of a plain service; it implements oas.Handler.
func (r *Router) Invoke(
	ctx context.Context, request *oas.InvokeRequest, params oas.InvokeParams,
) (*oas.InvokeResponse, error) {
	r.open.Add(1)
	defer r.open.Add(-1)
	v, class, refused := r.newInvocation(ctx, request, params)
	if refused == nil {
		refused = r.admit(ctx)
	}
	if refused != nil {
		return nil, v.early(refused)
	}
	if v.keyed {
		replayed, refused := v.claimKey(ctx)
		if replayed != nil {
			return replayed, nil
		}
		if refused != nil {
			return nil, refused
		}
	}
	result, refused := v.run(ctx, class, len(request.Arguments.Value))
	if refused != nil {
		return nil, refused
	}
	return &oas.InvokeResponse{Result: result}, nil
}

// newInvocation checks a call against the configuration.
func (r *Router) newInvocation(
	ctx context.Context, request *oas.InvokeRequest, params oas.InvokeParams,
) (*invocation, string, *refusal.Error) {
	now := time.Now()
	v := &invocation{
		router:    r,
		caller:    customer(ctx),
		service:   params.Service,
		call:      outside.InvokeRequest{Operation: params.Operation, Arguments: request.Arguments.Value},
		keyed:     params.IdempotencyKey.Or("") != "",
		decisions: make(chan entry.Decision, 1),
		deadline:  request.Deadline.Or(now.Add(invokeLimit)),
	}
	var known, idempotent, found bool
	err := r.do(ctx, func(time.Time) {
		known = r.node.Store().State().HasService(params.Service)
		idempotent, found = r.node.Store().State().Idempotent(params.Service, params.Operation)
	})
	class := request.Class.Or(v.caller.LeastPatientClass())
	switch {
	case err != nil:
		return v, "", refusal.New(refusal.ShuttingDown, err.Error())
	case !known:
		return v, "", refusal.Newf(refusal.UnknownService, "no service %q is configured", params.Service)
	case !found:
		return v, "", refusal.Newf(refusal.UnknownOperation, "service %q has no operation %q",
			params.Service, params.Operation)
	case !v.deadline.After(now):
		return v, "", refusal.New(refusal.DeadlinePast, "the deadline has passed")
	case !idempotent && !v.keyed:
		return v, "", refusal.Newf(refusal.KeyMissing, "operation %q needs an Idempotency-Key", params.Operation)
	}
	if _, ok := v.caller.Class(class); !ok {
		return v, "", refusal.Newf(refusal.UnknownClass, "the customer has no class %q", class)
	}
	v.keyed = !idempotent
	v.call.IdempotencyKey = params.IdempotencyKey.Or("")
	return v, class, r.checkTarget(ctx, params.Service, refusal.NoTarget)
}

// early corrects a refusal that does not know of earlier attempts: one of this call, or of another with the same key.
func (v *invocation) early(refused *refusal.Error) *refusal.Error {
	if v.keyed || v.sent {
		return refused.WithExecutionUnknown()
	}
	return refused
}

// claimKey claims the call's key. It returns the stored answer of an earlier call, or a refusal, or neither if this
// call may be sent.
func (v *invocation) claimKey(ctx context.Context) (*oas.InvokeResponse, *refusal.Error) {
	body, err := json.Marshal([]any{v.service, v.call.Operation, v.call.Arguments})
	if err != nil {
		return nil, v.early(refusal.New(refusal.Malformed, err.Error()))
	}
	hash := sha256.Sum256(body)
	verdicts := make(chan claim.Verdict, 1)
	err = v.router.do(ctx, func(now time.Time) {
		v.claim = v.router.node.Claimer().Claim(now, claim.Request{
			Key: v.call.IdempotencyKey, Customer: v.caller.Number, BodyHash: hash[:], Deadline: v.deadline,
		})
		v.router.claims[v.claim] = verdicts
	})
	if err != nil {
		return nil, v.early(refusal.New(refusal.ShuttingDown, err.Error()))
	}
	select {
	case verdict := <-verdicts:
		return v.judge(verdict)
	case <-ctx.Done():
		return nil, v.abandon(refusal.New(refusal.Expired, "the caller has gone"))
	case <-v.router.stopped:
		return nil, v.early(refusal.New(refusal.ShuttingDown, errStopped.Error()))
	}
}

// judge turns the outcome of the claim into the call's answer.
func (v *invocation) judge(verdict claim.Verdict) (*oas.InvokeResponse, *refusal.Error) {
	switch verdict.Outcome {
	case claim.OutcomeHeld:
		v.call.FencingToken = verdict.Fence + 1 // Offsets count from zero, and a fence of zero means none.
		return nil, nil
	case claim.OutcomeReplay:
		result := make(oas.InvokeResponseResult)
		if err := json.Unmarshal(verdict.Answer, &result); err != nil {
			return nil, refusal.New(refusal.Internal, "the stored answer cannot be read").WithExecutionUnknown()
		}
		return &oas.InvokeResponse{Result: result, Replayed: true}, nil
	case claim.OutcomeUnknown:
		event.ClaimUnknown.Log(v.router.logger, v.claim, "another claim holds the key")
	case claim.OutcomeBusy:
		event.ClaimLost.Log(v.router.logger, v.claim)
	default:
	}
	return nil, verdict.Refusal()
}

// abandon gives the claim up and returns the refusal with what is certain of the key.
func (v *invocation) abandon(refused *refusal.Error) *refusal.Error {
	if v.sent {
		return refused.WithExecutionUnknown()
	}
	if !v.keyed {
		return refused
	}
	ran := refusal.ExecutionUnknown
	v.router.post(func(now time.Time) {
		delete(v.router.claims, v.claim)
		ran = v.router.node.Claimer().Abandon(now, v.claim)
	})
	if ran != refusal.NotExecuted {
		return refused.WithExecutionUnknown()
	}
	return refused
}

// run waits for slots until a replica has answered.
func (v *invocation) run(ctx context.Context, class string, size int) (oas.InvokeResponseResult, *refusal.Error) {
	var refused *refusal.Error
	request := entry.Request{
		Customer: v.caller.Number, Model: v.service, Class: class, IsService: true, BodyBytes: size, Deadline: v.deadline,
	}
	err := v.router.do(ctx, func(now time.Time) {
		v.id, refused = v.router.node.Queue().Submit(now, request)
		if refused == nil {
			v.router.waiters[v.id] = v.decisions
		}
	})
	if err != nil {
		refused = refusal.New(refusal.ShuttingDown, err.Error())
	}
	if refused != nil {
		return nil, v.abandon(refused)
	}
	defer v.forget()
	defer onPanic(func() { v.finish(0, fleetpb.Outcome_OUTCOME_CANCELLED) })
	for {
		select {
		case decision := <-v.decisions:
			if decision.Refusal != nil {
				return nil, v.abandon(decision.Refusal)
			}
			result, refused, again := v.attempt(decision)
			if !again {
				return result, refused
			}
		case <-ctx.Done():
			v.finish(0, fleetpb.Outcome_OUTCOME_CANCELLED)
			return nil, v.abandon(refusal.New(refusal.Expired, "the caller has gone"))
		case <-v.router.stopped:
			return nil, v.early(refusal.New(refusal.ShuttingDown, errStopped.Error()))
		}
	}
}

// attempt sends the call to one replica. It returns again if the call did not run and waits for another slot.
func (v *invocation) attempt(decision entry.Decision) (oas.InvokeResponseResult, *refusal.Error, bool) {
	result, err := v.send(decision)
	if err == nil {
		v.finish(entry.ServiceCost(), fleetpb.Outcome_OUTCOME_DONE)
		v.complete(result)
		return result, nil, false
	}
	if errors.Is(err, errClaimLapsed) {
		v.finish(0, fleetpb.Outcome_OUTCOME_UNUSED)
		refused := refusal.New(refusal.Expired, "the claim of the key has lapsed before a slot was free")
		return nil, v.abandon(refused.WithRetryAt(time.Now().Add(time.Second))), false
	}
	reason, outcome, avoid := classify(err, decision.Target)
	v.router.metrics.CountRetry(reason)
	event.Retried.Log(v.router.logger, string(reason), v.caller.Name, decision.Target)
	crashed := reason == metric.RetryCrashed
	v.sent = v.sent || crashed
	if crashed && v.keyed {
		v.finish(0, outcome)
		refused := refusal.Newf(refusal.OutcomeUnknown, "the service broke off the call: %v", err)
		return nil, refused.WithExecutionUnknown(), false
	}
	if !crashed && v.keyed && !errors.Is(err, errLate) {
		v.router.post(func(now time.Time) { v.router.node.Claimer().MarkNotRun(now, v.claim) })
	}
	if reason != metric.RetryLate {
		v.attempts++
	}
	if v.attempts >= runLimit {
		v.finish(0, outcome)
		return nil, v.failed(err), false
	}
	v.router.post(func(now time.Time) { v.router.node.Queue().Requeue(now, v.id, outcome, avoid, false) })
	return nil, nil, true
}

// failed returns the refusal after the last attempt.
func (v *invocation) failed(err error) *refusal.Error {
	refused := refusal.Newf(refusal.TargetFailed, "%d replicas failed, the last with: %v", v.attempts, err)
	var rejected *outside.RejectedError
	if errors.As(err, &rejected) {
		refused = refusal.Newf(refusal.TargetRejected, "the service refused: %s", rejected.Reason)
	}
	return v.abandon(refused.WithRetryAt(time.Now().Add(time.Second)))
}

// send sends the call to the granted replica. For a keyed call the claim must still permit it.
func (v *invocation) send(decision entry.Decision) (map[string]string, error) {
	limited, cancel := context.WithDeadline(context.Background(), v.deadline.Add(readSlack))
	defer cancel()
	var address string
	var failure error
	err := v.router.do(limited, func(now time.Time) {
		target, _ := v.router.node.View().Target(decision.Target)
		address = target.Address
		switch {
		case address == "" || !now.Before(decision.GrantDeadline):
			failure = errLate
		case v.keyed && !v.router.node.Claimer().AuthorizeSend(now, v.claim):
			failure = errClaimLapsed
		}
	})
	if err != nil {
		return nil, errLate
	}
	if failure != nil {
		return nil, failure
	}
	return v.router.outside.Service(decision.Target, address).Invoke(limited, v.call)
}

// complete stores the answer of a keyed call and waits for it, so that a caller that asks again at once, or after the
// death of this router, gets the same answer. The wait is bounded: the answer is true also while the log is down.
func (v *invocation) complete(result map[string]string) {
	if !v.keyed {
		return
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		encoded = []byte("{}")
	}
	stored := make(chan struct{})
	v.router.post(func(now time.Time) {
		v.router.node.Claimer().Complete(now, v.claim, http.StatusOK, encoded)
		v.router.stores[v.claim] = stored
	})
	limit := time.NewTimer(storeLimit)
	defer limit.Stop()
	select {
	case <-stored:
	case <-limit.C:
		v.router.post(func(time.Time) { delete(v.router.stores, v.claim) })
	case <-v.router.stopped:
	}
}

// finish ends the request in the queue.
func (v *invocation) finish(units uint64, outcome fleetpb.Outcome) {
	v.router.post(func(now time.Time) { v.router.node.Queue().Finish(now, v.id, units, outcome) })
}

// forget drops the call's waiter.
func (v *invocation) forget() {
	v.router.post(func(time.Time) { delete(v.router.waiters, v.id) })
}
