package router

import (
	"context"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/node"
)

const (
	// idleTickPeriod is the time between ticks without actions and link events. The timeouts in the node are far longer.
	// While the router drains, it checks for open calls and claims with the same period.
	idleTickPeriod = 100 * time.Millisecond
	// reconcilePeriod is the minimum time between two runs of reconcile and reportProgress.
	reconcilePeriod = 250 * time.Millisecond
	// appendTimeout is the maximum duration of one append to the log. After it, the outcome of the append is unknown.
	appendTimeout = 5 * time.Second
	// lateTickThreshold is the delay above which a late tick is logged.
	lateTickThreshold = time.Second
)

// runInLoop runs an action in the tick loop and waits until it has returned. It returns an error, without having run the
// action, if the loop has ended or the context ends first. If the action panics, runInLoop panics in the calling goroutine
// instead, so that a fault in one call does not end the loop. Code that runs in the loop must not call it.
func (r *Router) runInLoop(ctx context.Context, action func(now time.Time)) error {
	done := make(chan *panicError, 1)
	wrapped := func(now time.Time) {
		defer close(done)
		defer func() {
			if value := recover(); value != nil {
				done <- asPanicError(value)
			}
		}()
		action(now)
	}
	select {
	case r.loopActions <- wrapped:
		if panicErr := <-done; panicErr != nil {
			panic(panicErr)
		}
		return nil
	case <-r.loopEnded:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runInLoopUnlessStopped runs an action in the tick loop and waits until it has returned. It does nothing if the loop has
// ended.
func (r *Router) runInLoopUnlessStopped(action func(now time.Time)) {
	_ = r.runInLoop(context.Background(), action)
}

// tickLoop runs actions, applies link events and ticks the node until the context ends. After an action or event, the next
// tick follows as soon as the tick period of the settings has passed since the last one.
func (r *Router) tickLoop(ctx context.Context) {
	defer close(r.loopEnded)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-r.loopActions:
			action(time.Now())
			r.tickPending = true
		case linkEvent := <-r.hub.Events():
			r.applyLinkEvent(time.Now(), linkEvent)
			r.tickPending = true
		case <-timer.C:
			r.tick(ctx, time.Now())
		}
		timer.Reset(time.Until(r.nextTick()))
	}
}

// nextTick returns the instant of the next tick, which may be in the past.
func (r *Router) nextTick() time.Time {
	if r.tickPending {
		return r.lastTick.Add(r.settings.TickPeriod())
	}
	return r.lastTick.Add(idleTickPeriod)
}

// applyLinkEvent passes a link event to the node and logs the start and end of sessions.
func (r *Router) applyLinkEvent(now time.Time, linkEvent link.Event) {
	switch {
	case linkEvent.Connected:
		event.LinkUp.Log(r.logger, linkEvent.Peer)
		r.node.Connected(now, linkEvent.Peer, linkEvent.Incarnation)
	case linkEvent.Disconnected:
		event.LinkDown.Log(r.logger, linkEvent.Peer)
		r.node.Disconnected(now, linkEvent.Peer, linkEvent.Released)
	case linkEvent.ConnectFailed:
		r.node.ConnectFailed(now, linkEvent.Peer)
	default:
		for _, body := range linkEvent.Bodies {
			r.node.Receive(now, linkEvent.Peer, body)
		}
	}
}

// tick ticks the node and carries out its output. Every reconcilePeriod it also reports progress and reconciles.
func (r *Router) tick(ctx context.Context, now time.Time) {
	if delay := now.Sub(r.lastTick) - idleTickPeriod; !r.lastTick.IsZero() && delay > lateTickThreshold {
		event.TickLate.Log(r.logger, delay.Milliseconds())
	}
	r.lastTick, r.tickPending = now, false
	if now.Sub(r.lastReconcile) >= reconcilePeriod {
		r.lastReconcile = now
		r.reportProgress(now)
		r.reconcile(ctx, now)
	}
	r.applyOutput(ctx, r.node.Tick(now))
}

// applyOutput sends the packets and starts the appends of a tick, and passes its decisions, verdicts and results to the calls
// that wait for them.
func (r *Router) applyOutput(ctx context.Context, output node.Output) {
	for _, packet := range output.Packets {
		r.hub.Send(packet.To, packet.Bodies)
	}
	for _, request := range output.Appends {
		r.tasks.Go(func() { r.appendRecord(ctx, request) })
	}
	for _, decision := range output.Decisions {
		if waiter, found := r.decisionWaiters[decision.RequestID]; found {
			waiter <- decision
		}
	}
	for _, verdict := range output.ClaimVerdicts {
		if waiter, found := r.claimWaiters[verdict.ClaimID]; found {
			delete(r.claimWaiters, verdict.ClaimID)
			waiter <- verdict
		}
	}
	for claimID, waiter := range r.storedWaiters {
		if !r.node.Claimer().IsOpen(claimID) {
			delete(r.storedWaiters, claimID)
			close(waiter)
		}
	}
	for _, result := range output.PublishResults {
		if waiter, found := r.publishWaiters[result.Ticket]; found {
			delete(r.publishWaiters, result.Ticket)
			waiter <- result
		}
	}
}

// appendRecord appends one record to the log and passes the outcome to the node.
func (r *Router) appendRecord(ctx context.Context, request message.Append) {
	timeoutCtx, cancel := context.WithDeadline(ctx, time.Now().Add(appendTimeout))
	defer cancel()
	_, err := r.adapters.Log.Append(timeoutCtx, request.Stream, request.Data)
	if err != nil {
		event.LogUnsettled.Log(r.logger, request.Stream, err)
	}
	r.runInLoopUnlessStopped(func(now time.Time) { r.node.Appended(now, request.ID, err) })
}
