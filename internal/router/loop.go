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
	// idlePeriod is the time between ticks when nothing happened; timeouts in the cores are far longer.
	idlePeriod = 100 * time.Millisecond
	// lookPeriod is the time between adjustments of links, readers, pollers and gauges.
	lookPeriod = 250 * time.Millisecond
	// appendLimit bounds one append; a later answer counts as lost.
	appendLimit = 5 * time.Second
	// lateTick is the delay of a tick that is worth a log line.
	lateTick = time.Second
)

// do runs an action in the tick loop and waits for it. If the action panics, the panic goes on in the caller, so that a
// fault in one call does not end the loop.
func (r *Router) do(ctx context.Context, action func(now time.Time)) error {
	done := make(chan *panicked, 1)
	wrapped := func(now time.Time) {
		defer close(done)
		defer func() {
			if value := recover(); value != nil {
				done <- asPanicked(value)
			}
		}()
		action(now)
	}
	select {
	case r.actions <- wrapped:
		if failure := <-done; failure != nil {
			panic(failure)
		}
		return nil
	case <-r.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post runs an action in the tick loop unless the router has stopped.
func (r *Router) post(action func(now time.Time)) {
	_ = r.do(context.Background(), action)
}

// loop owns the node: it applies what happens and ticks, at once when something happened but at most once a period.
func (r *Router) loop(ctx context.Context) {
	defer close(r.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-r.actions:
			action(time.Now())
			r.dirty = true
		case happened := <-r.hub.Events():
			r.apply(time.Now(), happened)
			r.dirty = true
		case <-timer.C:
			r.tick(ctx, time.Now())
		}
		timer.Reset(time.Until(r.nextTick()))
	}
}

// nextTick returns the instant of the next tick.
func (r *Router) nextTick() time.Time {
	if r.dirty {
		return r.lastTick.Add(r.settings.TickPeriod())
	}
	return r.lastTick.Add(idlePeriod)
}

// apply hands what happened on a link to the node.
func (r *Router) apply(now time.Time, happened link.Event) {
	switch {
	case happened.Connected:
		event.LinkUp.Log(r.logger, happened.Peer)
		r.node.Connected(now, happened.Peer, happened.Incarnation)
	case happened.Disconnected:
		event.LinkDown.Log(r.logger, happened.Peer)
		r.node.Disconnected(now, happened.Peer, happened.Released)
	case happened.ConnectFailed:
		r.node.ConnectFailed(now, happened.Peer)
	default:
		for _, body := range happened.Bodies {
			r.node.Receive(now, happened.Peer, body)
		}
	}
}

// tick runs the node and carries out its output.
func (r *Router) tick(ctx context.Context, now time.Time) {
	if late := now.Sub(r.lastTick) - idlePeriod; !r.lastTick.IsZero() && late > lateTick {
		event.TickLate.Log(r.logger, late.Milliseconds())
	}
	r.lastTick, r.dirty = now, false
	if now.Sub(r.lastLook) >= lookPeriod {
		r.lastLook = now
		r.reportProgress(now)
		r.look(ctx, now)
	}
	r.carryOut(ctx, r.node.Tick(now))
}

// carryOut starts what a tick asks for and wakes the calls that it decided.
func (r *Router) carryOut(ctx context.Context, output node.Output) {
	for _, packet := range output.Packets {
		r.hub.Send(packet.To, packet.Bodies)
	}
	for _, wanted := range output.Appends {
		r.tasks.Go(func() { r.append(ctx, wanted) })
	}
	for _, decision := range output.Decisions {
		if waiter, found := r.waiters[decision.RequestID]; found {
			waiter <- decision
		}
	}
	for _, verdict := range output.ClaimVerdicts {
		if waiter, found := r.claims[verdict.ClaimID]; found {
			delete(r.claims, verdict.ClaimID)
			waiter <- verdict
		}
	}
	for claimID, waiter := range r.stores {
		if !r.node.Claimer().Open(claimID) {
			delete(r.stores, claimID)
			close(waiter)
		}
	}
	for _, result := range output.PublishResults {
		if waiter, found := r.tickets[result.Ticket]; found {
			delete(r.tickets, result.Ticket)
			waiter <- result
		}
	}
}

// append carries out one append.
func (r *Router) append(ctx context.Context, wanted message.Append) {
	limited, cancel := context.WithDeadline(ctx, time.Now().Add(appendLimit))
	defer cancel()
	_, err := r.outside.Log.Append(limited, wanted.Stream, wanted.Data)
	if err != nil {
		event.LogUnsettled.Log(r.logger, wanted.Stream, err)
	}
	r.post(func(now time.Time) { r.node.Appended(now, wanted.ID, err) })
}
