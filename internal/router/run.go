package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	// runLimit is the number of targets that one call may be sent to.
	runLimit = 4
	// resumeLimit is the number of attempts to attach again to a broken stream before its target counts as crashed.
	resumeLimit = 3
	// resumePause is the time between these attempts.
	resumePause = 300 * time.Millisecond
	// crashSpan is the time in which a target is taken to crash once if it does not tell its incarnation.
	crashSpan = 30 * time.Second
)

// run is one model call from its submission to the end of its stream.
type run struct {
	router      *Router
	id          uint64
	customer    uint32
	name        string
	fingerprint uint64
	prompt      int
	call        outside.GenerateRequest
	deadline    time.Time
	decisions   chan entry.Decision
	answer      *answer
	units       atomic.Uint64
	attempts    int
	target      string
	address     string
	incarnation string
}

// life returns the context of the run's calls to targets. It outlives the caller's connection, so that the caller can come
// back for its answer, but not the caller's deadline.
func (u *run) life(ctx context.Context) (context.Context, context.CancelFunc) {
	life := context.WithoutCancel(ctx)
	if u.deadline.IsZero() {
		return context.WithCancel(life)
	}
	return context.WithDeadline(life, u.deadline)
}

// submit puts the run's request into the queue.
func (u *run) submit(ctx context.Context, request entry.Request) *refusal.Error {
	var refused *refusal.Error
	err := u.router.do(ctx, func(now time.Time) {
		verdict := u.router.node.Suspects().Classify(now, u.fingerprint)
		if verdict == suspect.VerdictQuarantined {
			refused = u.quarantined()
			return
		}
		request.Apart = verdict == suspect.VerdictSuspect
		u.id, refused = u.router.node.Queue().Submit(now, request)
		if refused == nil {
			u.router.waiters[u.id] = u.decisions
			u.router.runs[u.id] = u
		}
	})
	if err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	return refused
}

// start waits for grants until a target has begun to answer. If the context ends first, the request is cancelled.
func (u *run) start(ctx, life context.Context) (outside.Stream, *refusal.Error) {
	defer onPanic(func() { u.finish(fleetpb.Outcome_OUTCOME_CANCELLED) })
	for {
		var decision entry.Decision
		select {
		case decision = <-u.decisions:
		case <-ctx.Done():
			u.finish(fleetpb.Outcome_OUTCOME_CANCELLED)
			return nil, u.judge(refusal.New(refusal.Expired, "the caller has gone"))
		case <-u.router.stopped:
			return nil, u.judge(refusal.New(refusal.ShuttingDown, errStopped.Error()))
		}
		if decision.Refusal != nil {
			u.forget()
			return nil, u.judge(decision.Refusal)
		}
		u.target = decision.Target
		u.incarnation = ""
		stream, err := u.send(life, decision)
		if err == nil {
			u.incarnation = stream.Incarnation()
			return stream, nil
		}
		if life.Err() != nil && !errors.Is(err, errLate) {
			return nil, u.expire()
		}
		if refused := u.again(err); refused != nil {
			return nil, refused
		}
	}
}

// judge corrects a refusal of a call that an earlier target may have run.
func (u *run) judge(refused *refusal.Error) *refusal.Error {
	if u.attempts > 0 {
		return refused.WithExecutionUnknown()
	}
	return refused
}

// send starts the call at the granted target, unless the grant's deadline has passed.
func (u *run) send(life context.Context, decision entry.Decision) (outside.Stream, error) {
	if !time.Now().Before(decision.GrantDeadline) {
		return nil, errLate
	}
	var address string
	err := u.router.do(life, func(time.Time) {
		target, _ := u.router.node.View().Target(decision.Target)
		address = target.Address
	})
	if err != nil {
		return nil, err
	}
	if address == "" {
		return nil, &outside.UnavailableError{System: decision.Target, Cause: errNotListed}
	}
	u.address = address
	return u.router.outside.Engine(decision.Target, address).Generate(life, u.call)
}

// again puts the call back into the queue after a failed attempt, or returns the refusal that ends it.
func (u *run) again(err error) *refusal.Error {
	reason, outcome, avoid := classify(err, u.target)
	u.router.metrics.CountRetry(reason)
	event.Retried.Log(u.router.logger, string(reason), u.name, u.target)
	crashed := outcome == fleetpb.Outcome_OUTCOME_CRASHED
	if reason != metric.RetryLate {
		u.attempts++
	}
	verdict := suspect.VerdictClear
	doErr := u.router.do(context.Background(), func(now time.Time) {
		if crashed {
			u.suspect(now, err)
		}
		verdict = u.router.node.Suspects().Classify(now, u.fingerprint)
		if verdict != suspect.VerdictQuarantined && u.attempts < runLimit {
			u.router.node.Queue().Requeue(now, u.id, outcome, avoid, verdict == suspect.VerdictSuspect)
		}
	})
	switch {
	case doErr != nil:
		return refusal.New(refusal.ShuttingDown, doErr.Error()).WithExecutionUnknown()
	case verdict == suspect.VerdictQuarantined:
		u.finish(outcome)
		return u.quarantined()
	case u.attempts >= runLimit:
		u.finish(outcome)
		refused := refusal.Newf(refusal.TargetFailed, "%d targets failed, the last with: %v", u.attempts, err)
		return refused.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
	}
	u.call.StreamID = newStream(u.customer)
	return nil
}

// pump moves the stream's tokens into the answer until its end, attaching again if the connection breaks and running
// the call elsewhere if the target crashed before the caller saw a token.
func (u *run) pump(life context.Context, stream outside.Stream) {
	for {
		err := u.drain(life, stream)
		if err == nil {
			u.finish(fleetpb.Outcome_OUTCOME_DONE)
			u.answer.end(nil)
			return
		}
		if life.Err() != nil {
			u.answer.end(u.expire())
			return
		}
		if !u.answer.restart("") {
			u.crashed(err)
			return
		}
		u.units.Store(0)
		if refused := u.again(err); refused != nil {
			u.answer.end(refused)
			return
		}
		next, refused := u.start(life, life)
		if refused != nil {
			u.answer.end(refused)
			return
		}
		u.answer.restart(resumeToken(u.target, u.call.StreamID))
		stream = next
	}
}

// drain reads a stream to its end. It returns an error if the target broke it off for good.
func (u *run) drain(life context.Context, stream outside.Stream) error {
	var next int64
	for {
		token, err := stream.Next()
		switch {
		case err == nil && token.Index == next:
			next++
			u.answer.add(token)
			u.units.Store(entry.TokenCost(u.prompt, int(next)))
		case err == nil:
			err = &outside.CrashedError{Target: u.target, Cause: errGap}
		case errors.Is(err, io.EOF):
			return stream.Close()
		}
		if err == nil {
			continue
		}
		_ = stream.Close()
		resumed, resumeErr := u.resume(life, next)
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

// resume attaches to the call's stream again, at the next missing token.
func (u *run) resume(life context.Context, next int64) (outside.Stream, error) {
	var last error
	for range resumeLimit {
		stream, err := u.router.outside.Engine(u.target, u.address).Resume(life, u.call.StreamID, next)
		if err == nil {
			u.router.metrics.CountRetry(metric.RetryResumed)
			event.Resumed.Log(u.router.logger, u.name, u.target, next)
			return stream, nil
		}
		last = err
		var rejected *outside.RejectedError
		if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
			return nil, err
		}
		if !pause(life, resumePause) {
			return nil, life.Err()
		}
	}
	return nil, last
}

// expire ends a call whose deadline has passed after it was sent, and frees its slot. The target did not crash. The
// caller does not wait for the cancellation.
func (u *run) expire() *refusal.Error {
	u.router.tasks.Go(u.cancel)
	u.finish(fleetpb.Outcome_OUTCOME_CANCELLED)
	return refusal.New(refusal.Expired, "the deadline has passed during the answer").WithExecutionUnknown()
}

// cancel ends the call's stream at its target.
func (u *run) cancel() {
	limited, cancel := context.WithDeadline(context.Background(), time.Now().Add(outsideLimit))
	defer cancel()
	if err := u.router.outside.Engine(u.target, u.address).Cancel(limited, u.call.StreamID); err != nil {
		event.Abandoned.Log(u.router.logger, u.name, u.target, err)
	}
}

// crashed ends a call whose target died after the caller saw a part of the answer.
func (u *run) crashed(err error) {
	u.router.post(func(now time.Time) { u.suspect(now, err) })
	u.finish(fleetpb.Outcome_OUTCOME_CRASHED)
	refused := refusal.Newf(refusal.TargetFailed, "the target failed during the answer: %v", err)
	u.answer.end(refused.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second)))
}

// suspect notes a crash of the run's target; it runs in the tick loop.
func (u *run) suspect(now time.Time, err error) {
	event.TargetCrashed.Log(u.router.logger, u.target, err)
	event.SuspectFound.Log(u.router.logger, u.fingerprint, u.name, u.target)
	u.router.node.Suspects().RecordCrash(now, u.target, u.crash(now), []uint64{u.fingerprint})
}

// quarantined returns the refusal of a request that has crashed two targets.
func (u *run) quarantined() *refusal.Error {
	event.SuspectRefused.Log(u.router.logger, u.fingerprint, u.name)
	return refusal.New(refusal.Quarantined, "the request has crashed two targets").WithExecutionUnknown()
}

// crash returns the id of a crash of the run's target, the same for all routers. A target that does not tell its
// incarnation is taken to crash at most once in crashSpan.
func (u *run) crash(now time.Time) string {
	if u.incarnation != "" {
		return u.target + "/" + u.incarnation
	}
	return u.target + "/" + now.Truncate(crashSpan).Format(time.RFC3339)
}

// finish ends the request in the queue.
func (u *run) finish(outcome fleetpb.Outcome) {
	u.router.post(func(now time.Time) {
		u.router.node.Queue().Finish(now, u.id, u.units.Load(), outcome)
		delete(u.router.waiters, u.id)
		delete(u.router.runs, u.id)
	})
}

// forget drops the waiter of a request that the queue has refused.
func (u *run) forget() {
	u.router.post(func(time.Time) {
		delete(u.router.waiters, u.id)
		delete(u.router.runs, u.id)
	})
}

// reportProgress tells the queue what the open runs have served so far.
func (r *Router) reportProgress(now time.Time) {
	for id, open := range r.runs {
		if units := open.units.Load(); units > 0 {
			r.node.Queue().RecordProgress(now, id, units)
		}
	}
}
