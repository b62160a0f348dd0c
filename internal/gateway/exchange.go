package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

const (
	// retryAfter is the time after which callers should retry a request that was refused for a temporary reason.
	retryAfter = time.Second
	// firstByteTimeoutSlack plus firstByteTimeoutFactor times the expected time to the first byte is the time after which
	// a retryable request may be sent to another target.
	firstByteTimeoutFactor = 4
	firstByteTimeoutSlack  = 250 * time.Millisecond
)

// exchange is one request of a caller with its response. It belongs to the goroutine that handles the request.
type exchange struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	// arrivedAt is the time from which the caller may have waited, readAt the one at which the request was read. A late process only estimates the
	// first one, and may take it for earlier than it was.
	arrivedAt, readAt time.Time
	info              RequestInfo
	route             *route.Route
	customer          string
	priority          int
	service           string
	// build is the version of the targets' software at which a stream has to begin or go on, and empty if any target may run the request.
	build string
	body  []byte
	// bodyMemory is what the body holds, nil if there is none.
	bodyMemory *overload.BodyReservation
	// fingerprints identify the whole request and the shared parts of its prompt.
	fingerprints []uint64
	probe        probe
	// mayExceedShare is set if the request is the first to take up a stream that the fleet has broken off.
	mayExceedShare bool
	// deadline is the time by which the response must have begun, counted from arrivedAt. Targets work until then. answerDeadline is the time by
	// which a response that has begun must be complete, counted from readAt: before that, its caller may still be there.
	deadline, answerDeadline time.Time

	// sentAttempts is the number of targets that may have received the request, unsentAttempts the number of attempts that
	// failed to reach the intended target.
	sentAttempts, unsentAttempts int
	// mayHaveRun reports whether a target may have run the request.
	mayHaveRun bool
	// hasRetry is set if a retry was taken from the budget for the next attempt.
	hasRetry bool
	// headReceived reports whether the head of a response to the last attempt has arrived, firstDataAt when the first data of its
	// body did. It is zero if there was none.
	headReceived bool
	firstDataAt  time.Time
	// endUncertain is set if a crash of the target may have ended the response to the last attempt.
	endUncertain bool
	// framing is what ends the response to the last attempt. It is empty if the head of none has arrived.
	framing forward.Framing
	// lastEventAt is the time of the last event of the stream, and that of the arrival of the request before the first one.
	lastEventAt time.Time
	// events tells whether the stream of the last attempt has ended inside an event.
	events eventBoundary
	// failedResponse is a server error of a target, which is relayed if no other target responds.
	failedResponse *bufferedResponse
	// request is the request as the dispatcher has it. pending is the last decision that was asked for, zero before the first one. headSent is set
	// before the head of a response is sent to the caller.
	request  dispatch.Request
	pending  pendingDecision
	headSent bool
	// responseStarted reports whether a part of the response has been sent to the caller.
	responseStarted bool
	// brokenOff reports whether the response was ended before it was complete, although the caller was there.
	brokenOff bool
	splitter  eventSplitter
	stats     exchangeStats
}

// exchangeStats holds figures of a request that are logged with its outcome.
type exchangeStats struct {
	configVersion uint64
	targetName    string
	// targetBuild is the version of that target's software.
	targetBuild string
	// queueTime is the total time that the request waited for decisions of the dispatcher.
	queueTime time.Duration
	// timeToFirstByte is the time from the arrival of the request to the first byte of a response of a target.
	timeToFirstByte time.Duration
	// decidedAt is the time of the last decision, expectedTargetLatency the time from then to the first byte that the
	// dispatcher expects.
	decidedAt             time.Time
	expectedTargetLatency time.Duration
	// targetLatency is the actual time from decidedAt to the first byte.
	targetLatency time.Duration
	status        int
	// bodyBytes is the number of bytes of the response body that were sent to the caller.
	bodyBytes int64
	// uncachedTokens is the number of prompt tokens that the target is expected to process because they are not in its
	// cache.
	uncachedTokens int
	// fetchedTokens is the number of prompt tokens that the target fetches from the cache of another one.
	fetchedTokens int
}

// serve handles the request until it is answered or given up.
func (x *exchange) serve() {
	defer x.releaseBody()
	defer x.returnProbe()
	defer x.spendStream()
	if refusalErr := x.admit(); refusalErr != nil {
		x.refuse(refusalErr)
		return
	}
	x.gateway.retryBudgets.recordRequest(x.service)
	answerCtx, cancelAnswer := context.WithDeadline(x.r.Context(), x.answerDeadline)
	defer cancelAnswer()
	defer context.AfterFunc(x.gateway.ending, cancelAnswer)()
	ctx, cancel := context.WithDeadline(answerCtx, x.deadline)
	defer cancel()
	x.fingerprints = x.computeFingerprints()
	if refusalErr := x.admitSuspect(); refusalErr != nil {
		x.refuse(refusalErr)
		return
	}
	if refusalErr := x.findOrigin(ctx); refusalErr != nil {
		x.refuse(refusalErr)
		return
	}
	x.request = x.dispatchRequest()
	x.pending = x.gateway.scheduler.submit(x.request)
	for {
		decision, ok := x.awaitDecision(ctx, x.pending)
		if !ok {
			x.abortDisconnected()
			return
		}
		x.gateway.shedder.recordOutcome(x.customer, decision.Refusal)
		if decision.Refusal != nil {
			x.failRequest(x.gateway.refusalWhileEnding(decision.Refusal))
			return
		}
		if !x.attempt(ctx, answerCtx, decision) {
			return
		}
		if refusalErr := x.admitSuspect(); refusalErr != nil {
			x.failRequest(refusalErr)
			return
		}
		x.splitter.resume()
		x.request = x.requestAfter(decision)
		x.pending = x.gateway.scheduler.resubmit(x.pending.id, x.request)
	}
}

// requestAfter returns the request as the dispatcher needs it after an attempt at the target of a decision.
func (x *exchange) requestAfter(decision dispatch.Decision) dispatch.Request {
	request := x.request
	if x.responseStarted {
		request.Build = decision.Target.Build
	}
	request.ExcludedTargets = append(slices.Clone(request.ExcludedTargets), decision.Target.Name)
	return request
}

// dispatchRequest returns the request as the dispatcher needs it.
func (x *exchange) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Customer:        x.customer,
		Service:         x.service,
		Parts:           x.info.PromptParts,
		PromptTokens:    x.info.PromptTokens,
		MaxOutputTokens: x.info.MaxOutputTokens,
		Priority:        x.priority,
		Build:           x.build,
		Resumed:         x.takesUpStream(),
		MayExceedShare:  x.mayExceedShare,
		Objective:       x.arrivedAt.Add(x.route.LatencyObjective),
		Deadline:        x.deadline,
	}
}

// awaitDecision waits for the dispatcher's decision. It returns false if the caller has disconnected.
func (x *exchange) awaitDecision(ctx context.Context, pending pendingDecision) (dispatch.Decision, bool) {
	select {
	case decision := <-pending.decision:
		return x.recordDecision(decision), true
	default:
	}
	timer := time.NewTimer(time.Until(pending.expiresAt))
	defer timer.Stop()
	select {
	case decision := <-pending.decision:
		return x.recordDecision(decision), true
	case <-timer.C:
	case <-ctx.Done():
		if x.r.Context().Err() != nil {
			x.gateway.scheduler.cancel(pending)
			return dispatch.Decision{}, false
		}
	}
	x.gateway.scheduler.expire(pending)
	return x.recordDecision(<-pending.decision), true
}

// recordDecision records a decision for the log and returns it.
func (x *exchange) recordDecision(decision dispatch.Decision) dispatch.Decision {
	x.stats.queueTime += decision.Waited
	x.stats.targetName, x.stats.targetBuild = decision.Target.Name, decision.Target.Build
	x.stats.uncachedTokens, x.stats.fetchedTokens = decision.PrefillTokens, decision.FetchTokens
	if decision.Refusal == nil {
		x.countPromptTokens(decision)
	}
	x.stats.decidedAt = time.Now()
	x.stats.expectedTargetLatency = decision.ExpectedFirstByte.Sub(x.stats.decidedAt)
	return decision
}

// countPromptTokens counts how the target of a decision is expected to get the prompt.
func (x *exchange) countPromptTokens(decision dispatch.Decision) {
	metrics := x.gateway.metrics
	metrics.CountPromptTokens(metric.TokensRead, decision.PrefillTokens)
	metrics.CountPromptTokens(metric.TokensFetched, decision.FetchTokens)
	metrics.CountPromptTokens(metric.TokensKept, max(x.info.PromptTokens-decision.PrefillTokens-decision.FetchTokens, 0))
}

// attempt sends the request to a target and handles the response, which ends with answerCtx. It reports whether the request should be sent to
// another target.
func (x *exchange) attempt(ctx, answerCtx context.Context, decision dispatch.Decision) (retry bool) {
	if callerDisconnected(ctx) {
		x.finishAttempt(decision, dispatch.Cancelled)
		x.abortDisconnected()
		return false
	}
	if left := x.callerLeavesAt(); !left.IsZero() && time.Now().After(left) {
		x.finishAttempt(decision, dispatch.Cancelled)
		x.failRequest(refusal.New(refusal.Expired, "callers do not wait so long for an event"))
		return false
	}
	if !x.responseStarted && x.gateway.startsNoRequests(boottime.Now()) {
		x.finishAttempt(decision, dispatch.Cancelled)
		x.failRequest(drainRefusal())
		return false
	}
	if x.endsBeforeAnswer(decision) {
		x.finishAttempt(decision, dispatch.Delayed)
		x.failRequest(refusal.New(refusal.Expired, "no target can answer before the deadline"))
		return false
	}
	if !x.recordOrigin(ctx, decision) {
		return x.handleUnsent(decision, dispatch.Delayed, &unmarkedBuildError{})
	}
	if refusalErr := x.authorizeSend(ctx); refusalErr != nil {
		x.finishAttempt(decision, dispatch.Cancelled)
		x.failRequest(refusalErr)
		return false
	}
	if !x.gateway.scheduler.accepts(decision.Target) {
		return x.handleUnsent(decision, dispatch.Delayed, &targetLeftError{})
	}
	attemptCtx, cancel := context.WithCancel(answerCtx)
	defer cancel()
	claimed := x.takeProbe()
	response, err := x.gateway.client.Send(attemptCtx, x.newAttempt(decision))
	x.headReceived, x.firstDataAt, x.framing, x.events, x.endUncertain = err == nil, time.Time{}, "", eventBoundary{}, false
	if err != nil {
		return x.handleSendError(decision, err, claimed)
	}
	defer response.Close()
	x.framing = response.Framing
	x.recordRateLimit(decision, response)
	x.gateway.notices.record(decision.Target, &response.Info)
	if response.Info.NotRun {
		return x.handleRejection(decision, response)
	}
	x.sentAttempts++
	x.mayHaveRun = true
	if !response.Info.Signed && response.StatusCode/100 == 2 {
		return x.handleBrokenAttempt(decision, &unsignedError{status: response.StatusCode})
	}
	if response.StatusCode/100 == 2 {
		x.gateway.scheduler.recordSuccess(decision.ID)
	}
	switch {
	case x.route.Kind.Streaming() && response.StatusCode/100 == 2:
		return x.relayStream(decision, response)
	case x.responseStarted:
		// The target was to continue a stream that has already started. Its failure must not end the response as if it
		// were complete.
		return x.handleBrokenAttempt(decision, &serverError{status: response.StatusCode})
	}
	return x.relayBuffered(decision, response)
}

// endsBeforeAnswer reports whether the request ends before its target can be expected to answer. It is sent if at least half of its latency
// objective is left, so that wrong expectations cannot keep all requests from a service.
func (x *exchange) endsBeforeAnswer(decision dispatch.Decision) bool {
	timeLeft := time.Until(x.deadline)
	return timeLeft < time.Until(decision.ExpectedFirstByte) && timeLeft < x.route.LatencyObjective/2
}

// recordRateLimit records the limit of requests per second that a response names. A response without one shows that there is none
// only if the target has worked on the request.
func (x *exchange) recordRateLimit(decision dispatch.Decision, response *forward.Response) {
	limit := response.Info.RateLimit
	succeeded := response.Info.Signed && response.StatusCode/100 == 2
	if response.Info.Misdirected || limit == 0 && !succeeded {
		return
	}
	if x.gateway.scheduler.recordRateLimit(decision.Target.Name, limit) {
		event.TargetLimited.Log(x.gateway.logger, decision.Target.Name, limit)
	}
}

// newAttempt returns the request to the target of a decision.
func (x *exchange) newAttempt(decision dispatch.Decision) forward.Attempt {
	now := time.Now()
	timeLeft := x.deadline.Sub(now)
	attempt := forward.Attempt{
		ID:       x.info.ID,
		Target:   decision.Target.Name,
		Address:  decision.Target.Address,
		Method:   x.r.Method,
		URI:      x.r.RequestURI,
		Host:     x.r.Host,
		Body:     x.body,
		Deadline: x.answerDeadline,
	}
	attempt.StartUnixMilli, attempt.StartRequired = x.requiredStart(decision.Target)
	attempt.Header = x.gateway.adapters.Codec.RequestHeader(x.r.Header, AttemptInfo{
		Target: decision.Target.Name, Customer: x.customer, CacheSource: decision.CacheSource, TimeLeft: timeLeft,
		LastEventID: x.splitter.lastID,
	})
	attempt.HeaderDeadline = earlier(x.callerLeavesAt(), x.deadline)
	timeout := firstByteTimeoutSlack + firstByteTimeoutFactor*max(decision.ExpectedFirstByte.Sub(now), 0)
	attempt.Silence = x.silenceCheck(decision, x.sentAttempts+1, newStayTime(now, attempt.HeaderDeadline))
	attempt.Silence.At = now.Add(timeout)
	return attempt
}

// readDelay returns how long the request may have waited until it was read.
func (x *exchange) readDelay() time.Duration { return max(x.readAt.Sub(x.arrivedAt), 0) }

// callerLeavesAt returns the time at which the caller of a stream has left unless an event comes before, zero if that is not known.
func (x *exchange) callerLeavesAt() time.Time { return leavesAt(x.route, x.lastEventAt) }

// earlier returns the earlier one of a time that may be zero, for none, and another one.
func earlier(optional, other time.Time) time.Time {
	if !optional.IsZero() && optional.Before(other) {
		return optional
	}
	return other
}

// writeHead sends the head of the response to the caller.
func (x *exchange) writeHead(status int) {
	x.headSent = true
	x.announceConnEnd()
	x.w.WriteHeader(status)
}

// announceConnEnd tells the caller in the head of the response how long its connection stays open, so that it sends no request that crosses the end.
func (x *exchange) announceConnEnd() {
	header := x.w.Header()
	if x.r.Close || header.Get("Connection") != "" {
		return // The connection ends with the response, and the head says so.
	}
	if x.gateway.draining.Load() || x.gateway.callerConns.isCrowded() {
		header.Set("Connection", "close")
		return
	}
	keepAlive := announcedIdleTime(x.gateway.idleTimeout())
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(keepAlive/time.Second)))
	if conn := callerConnOf(x.r.Context()); conn != nil {
		conn.announceKeepAlive(keepAlive)
	}
}

// finishAttempt reports the outcome of an attempt to the scheduler.
func (x *exchange) finishAttempt(decision dispatch.Decision, outcome dispatch.Outcome) {
	x.gateway.scheduler.finishAttempt(decision.ID, outcome)
}
