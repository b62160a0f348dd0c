package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// deregistrationTime is the time until the load balancer stops sending connections to a draining router: it checks the
	// readiness once a second and removes a router after two failed checks.
	deregistrationTime = 2500 * time.Millisecond
	// exitMargin is the time between the end of the drain and the end of the grace period, when the process is killed.
	exitMargin = 400 * time.Millisecond
	// acceptMargin is how long before the end of the drain the listener is closed at the latest.
	acceptMargin = 1500 * time.Millisecond
	// lateStartTime is how long after new requests are refused those that were read before may still be sent to targets: they wait for their
	// bodies and for targets, and their answers might be cut at the end of the drain.
	lateStartTime = time.Second
	// openPollInterval is the time between checks whether all connections have ended, answerPollInterval between checks whether all requests
	// are answered that end with the process.
	openPollInterval   = 50 * time.Millisecond
	answerPollInterval = 5 * time.Millisecond
	// drainIdleTimeout is how long a connection may have no request at the end of the drain. A request that is on its way arrives
	// within this time.
	drainIdleTimeout = 200 * time.Millisecond
)

// drain waits until all connections of callers have ended or the grace period is almost over. It keeps accepting connections until the
// load balancer has had time to deregister the router. After that, new requests are refused, because their answers may not end in time, and
// only connections without a request are ended: a router that gets too little processor time accepts and reads requests late.
func (g *Gateway) drain(acceptors []*acceptor) {
	startedAt := time.Now()
	deadline := startedAt.Add(g.settings.GracePeriod - exitMargin)
	deregisteredAt := startedAt.Add(min(deregistrationTime, g.settings.GracePeriod/2))
	g.refuseAfter.Store(int64(boottime.Now().Add(time.Until(deregisteredAt))))
	g.draining.Store(true)
	g.handovers.stop() // What is passed on now might not end in time.
	event.Draining.Log(g.logger, g.openRequests.Load())
	drainCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	go g.peers.withdraw(drainCtx) // Not waited for, because the store may not reply.
	sleepUntil(drainCtx, deregisteredAt)
	acceptCtx, stopAccepting := context.WithDeadline(drainCtx, deadline.Add(-acceptMargin))
	defer stopAccepting()
	for _, callers := range acceptors {
		callers.closeWhenEmpty(acceptCtx)
	}
	for g.endUnusedConns() > 0 {
		if drainCtx.Err() != nil {
			event.DrainCut.Log(g.logger, g.openRequests.Load())
			g.answerOpenRequests()
			return
		}
		sleepUntil(drainCtx, time.Now().Add(openPollInterval))
	}
	event.Drained.Log(g.logger, time.Since(startedAt).Milliseconds())
}

// endUnusedConns ends the connections of callers without a request. It returns the number of open connections.
func (g *Gateway) endUnusedConns() int {
	served := g.callerConns.endUnused(time.Now(), drainIdleTimeout) + int(g.handovers.unstarted.Load())
	return served + g.handovers.endUnused() + g.refuser.endUnused()
}

// answerOpenRequests ends all requests that have no answer yet, and waits until they have one, or until the process must end. The HTTP server writes
// the end of an answer without a length after its request has ended, so it waits for the connections too.
func (g *Gateway) answerOpenRequests() {
	g.handovers.endAll()
	g.endRequests()
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	for g.openRequests.Load() > 0 || g.callerConns.count().active > 0 || g.handovers.numOpen() > 0 {
		if ctx.Err() != nil {
			return
		}
		sleepUntil(ctx, time.Now().Add(answerPollInterval))
	}
}

// refusalWhileEnding returns the refusal of a request that got no target: the given one, unless it is due to the end of the process.
func (g *Gateway) refusalWhileEnding(refusalErr *refusal.Error) *refusal.Error {
	if g.ending.Err() != nil {
		return drainRefusal()
	}
	return refusalErr
}

// refusesNewRequests reports whether the router is draining and callers have had time to use others.
func (g *Gateway) refusesNewRequests(now boottime.Instant) bool {
	return g.draining.Load() && boottime.Instant(g.refuseAfter.Load()).Before(now)
}

// startsNoRequests reports whether the router has been draining for so long that requests are not sent to targets any more, unless they
// go on with an answer that has begun.
func (g *Gateway) startsNoRequests(now boottime.Instant) bool {
	return g.draining.Load() && boottime.Instant(g.refuseAfter.Load()).Add(lateStartTime).Before(now)
}

// drainRefusal returns the refusal of a request that a draining router does not send.
func drainRefusal() *refusal.Error {
	return refusal.New(refusal.ShuttingDown, "the router is about to end").WithRetryAt(time.Now().Add(retryAfter))
}

// sleepUntil waits until the given time or until ctx ends.
func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stackTrace returns the stack trace of the calling goroutine.
func stackTrace() string { return string(debug.Stack()) }
