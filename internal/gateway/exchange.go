package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

const (
	// comeBack is the time after which a request may come back that was refused for a passing reason.
	comeBack = time.Second
	// unsentTries is the number of targets that may be found unreachable for one request.
	unsentTries = 4
	// patienceFactor and patienceSlack give the time for the first byte after which a repeatable request goes to another
	// target.
	patienceFactor = 4
	patienceSlack  = 250 * time.Millisecond
)

// exchange is one request of a caller with its answer.
type exchange struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	arrived  time.Time
	call     RequestInfo
	route    *route.Route
	customer string
	priority int
	service  string
	body     []byte
	// end is the instant at which the request gets its final answer.
	end time.Time

	// sent is the number of targets that may have received the request, unsent that of targets that did not.
	sent, unsent int
	// ran tells whether a target may have run the request.
	ran bool
	// failure is a target's own failure, to be passed on if no other target answers.
	failure *stored
	// began tells that a part of the answer was passed on.
	began    bool
	splitter eventSplitter
	record   record
}

// record is what the log line of a request tells besides its names.
type record struct {
	version uint64
	target  string
	waited  time.Duration
	first   time.Duration
	// sent is the instant of the last decision for a target, expected the time to the first byte that it expects.
	sent     time.Time
	expected time.Duration
	// took is the time from that decision to the first byte.
	took    time.Duration
	status  int
	bytes   int64
	missing int
}

// serve answers the request.
func (x *exchange) serve() {
	if refused := x.admit(); refused != nil {
		x.refuse(refused)
		return
	}
	x.gateway.budgets.first(x.service)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.end)
	defer cancel()
	request := x.request()
	given := x.gateway.scheduler.submit(request)
	for {
		decision, decided := x.await(ctx, given)
		if !decided {
			x.left()
			return
		}
		x.gateway.door.note(x.customer, decision.Refused)
		if decision.Refused != nil {
			x.giveUp(decision.Refused)
			return
		}
		if !x.attempt(ctx, decision) {
			return
		}
		x.splitter.resume()
		request.Avoid = append(slices.Clone(request.Avoid), decision.Target.Name)
		given = x.gateway.scheduler.repeat(given.id, request)
	}
}

// request returns what the decision needs to know.
func (x *exchange) request() dispatch.Request {
	return dispatch.Request{
		Customer:  x.customer,
		Service:   x.service,
		Parts:     x.call.PromptParts,
		Prompt:    x.call.PromptTokens,
		Output:    x.call.MaxOutputTokens,
		Priority:  x.priority,
		Objective: x.arrived.Add(x.route.LatencyObjective),
		Deadline:  x.end,
	}
}

// await waits for the decision. It returns false if the caller left.
func (x *exchange) await(ctx context.Context, given ticket) (dispatch.Decision, bool) {
	select {
	case decision := <-given.decided:
		return x.decided(decision), true
	default:
	}
	timer := time.NewTimer(time.Until(given.until))
	defer timer.Stop()
	select {
	case decision := <-given.decided:
		return x.decided(decision), true
	case <-timer.C:
	case <-ctx.Done():
		if x.r.Context().Err() != nil {
			x.gateway.scheduler.cancel(given)
			return dispatch.Decision{}, false
		}
	}
	x.gateway.scheduler.expire(given)
	return x.decided(<-given.decided), true
}

// decided notes a decision for the log.
func (x *exchange) decided(decision dispatch.Decision) dispatch.Decision {
	x.record.waited += decision.Waited
	x.record.target = decision.Target.Name
	x.record.missing = decision.Missing
	x.record.sent = time.Now()
	x.record.expected = decision.First.Sub(x.record.sent)
	return decision
}

// attempt sends the request to a target. It reports whether the request shall go to another one.
func (x *exchange) attempt(ctx context.Context, decision dispatch.Decision) (again bool) {
	if closed(ctx) {
		x.finish(decision, dispatch.Cancelled)
		x.left()
		return false
	}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := x.gateway.client.Send(limited, x.outgoing(decision))
	if err != nil {
		return x.failed(decision, err)
	}
	defer answer.Close()
	if answer.Info.NotRun {
		return x.rejected(decision, answer)
	}
	x.sent++
	x.ran = true
	if !answer.Info.Signed && answer.StatusCode/100 == 2 {
		return x.broken(decision, &invalidError{status: answer.StatusCode})
	}
	switch {
	case x.route.Kind.Streaming() && answer.StatusCode/100 == 2:
		return x.stream(decision, answer)
	case x.began:
		// Another target was to go on with the stream. Its failure must not end the answer as if that were complete.
		return x.broken(decision, &failedError{status: answer.StatusCode})
	}
	return x.whole(decision, answer)
}

// outgoing returns the attempt at a target.
func (x *exchange) outgoing(decision dispatch.Decision) forward.Attempt {
	now := time.Now()
	left := x.end.Sub(now)
	attempt := forward.Attempt{
		ID:       x.call.ID,
		Target:   decision.Target.Name,
		Address:  decision.Target.Address,
		Method:   x.r.Method,
		URI:      x.r.RequestURI,
		Host:     x.r.Host,
		Body:     x.body,
		Deadline: x.end,
	}
	attempt.Header = x.gateway.outside.Codec.RequestHeader(x.r.Header, AttemptInfo{
		Target: decision.Target.Name, Customer: x.customer, CacheSource: decision.Source, TimeLeft: left,
		LastEventID: x.splitter.last,
	})
	if x.route.Kind.Retryable() && x.sent+1 < x.route.MaxAttempts {
		attempt.HeaderDeadline = now.Add(patienceSlack + patienceFactor*max(decision.First.Sub(now), 0))
	}
	return attempt
}

// failed handles an attempt without an answer.
func (x *exchange) failed(decision dispatch.Decision, err error) (again bool) {
	var unsent *forward.UnsentError
	if !errors.As(err, &unsent) {
		x.sent++
		return x.broken(decision, err)
	}
	x.unsent++
	if x.r.Context().Err() != nil {
		x.finish(decision, dispatch.Cancelled)
		x.left()
		return false
	}
	x.finish(decision, dispatch.Unreachable)
	again = x.unsent < unsentTries && x.timeLeft()
	x.logAttempt(decision, dispatch.Unreachable, err, again)
	if again {
		x.gateway.metrics.Retried(metric.RetryUnreachable)
		return true
	}
	x.giveUp(refusal.New(refusal.NoTarget, "no target accepted a connection").WithRetry(time.Now().Add(comeBack)))
	return false
}

// rejected handles an answer that says that the target did not run the request.
func (x *exchange) rejected(decision dispatch.Decision, answer *forward.Response) (again bool) {
	drain(answer)
	if !answer.Info.Misdirected {
		x.sent++
	}
	outcome := dispatch.Rejected
	if answer.Info.Misdirected {
		outcome = dispatch.Misdirected
	}
	x.finish(decision, outcome)
	again = x.timeLeft() && x.sent < x.route.MaxAttempts && x.unsent < unsentTries && x.gateway.budgets.repeat(x.service)
	if answer.Info.Misdirected {
		x.unsent++
	}
	x.logAttempt(decision, outcome, &rejectedError{status: answer.StatusCode}, again)
	if again {
		x.gateway.metrics.Retried(metric.RetryRejected)
		return true
	}
	x.giveUp(refusal.New(refusal.Overloaded, "the target has no room").WithRetry(time.Now().Add(comeBack)))
	return false
}

// broken handles an attempt that the target may have run and of which there is no valid answer.
func (x *exchange) broken(decision dispatch.Decision, err error) (again bool) {
	x.ran = true
	outcome := dispatch.Broken
	switch {
	case x.r.Context().Err() != nil:
		x.finish(decision, dispatch.Cancelled)
		x.left()
		return false
	case isTimeout(err) || !x.timeLeft():
		outcome = dispatch.Stalled
	}
	x.finish(decision, outcome)
	again = x.mayRepeat()
	x.logAttempt(decision, outcome, err, again)
	if again {
		x.gateway.metrics.Retried(metric.RetryCrashed)
		return true
	}
	if !x.timeLeft() {
		x.giveUp(refusal.New(refusal.Expired, "the target did not answer in time").WithUnknown())
	} else {
		x.giveUp(refusal.New(refusal.TargetFailed, "the target broke off the request").WithUnknown())
	}
	return false
}

// mayRepeat tells whether a request that may have run is sent to another target, and takes that out of the budget.
func (x *exchange) mayRepeat() bool {
	return x.route.Kind.Retryable() && x.sent < x.route.MaxAttempts && x.timeLeft() && x.gateway.budgets.repeat(x.service)
}

// timeLeft tells whether another attempt makes sense.
func (x *exchange) timeLeft() bool { return time.Now().Before(x.end) }

// finish tells the scheduler how an attempt ended.
func (x *exchange) finish(decision dispatch.Decision, outcome dispatch.Outcome) {
	x.gateway.scheduler.finish(decision.ID, outcome)
}

// logAttempt logs an attempt that failed.
func (x *exchange) logAttempt(decision dispatch.Decision, outcome dispatch.Outcome, err error, again bool) {
	event.AttemptFailed.Log(x.gateway.logger, x.call.ID, decision.Target.Name, string(outcome), err, x.sent, again,
		time.Since(x.arrived).Milliseconds())
}
