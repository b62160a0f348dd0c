package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
)

const (
	// noticeSpan is the time in which the load balancer learns that the router leaves: it takes a router out after two
	// failed questions, which it asks once a second.
	noticeSpan = 2500 * time.Millisecond
	// graceMargin is how long before the forced end of the process it ends by itself.
	graceMargin = 400 * time.Millisecond
	// lastSpan is the time before its end in which a router that leaves takes no request: there may be no time to answer.
	lastSpan = 1500 * time.Millisecond
	// openPeriod is the time between looks at the open requests.
	openPeriod = 50 * time.Millisecond
)

// drain lets the open requests end. Until the load balancer knows that the router leaves, it takes new ones.
func (g *Gateway) drain(front *http.Server) {
	began := time.Now()
	end := began.Add(g.settings.GracePeriod - graceMargin)
	g.last.Store(end.Add(-lastSpan).UnixNano())
	g.draining.Store(true)
	event.Draining.Log(g.logger, g.open.Load())
	limited, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go g.peers.withdraw(limited) // The store may not answer; the drain does not wait for it.
	pause(limited, began.Add(min(noticeSpan, g.settings.GracePeriod/2)))
	if err := front.Shutdown(limited); err != nil {
		event.DrainCut.Log(g.logger, g.open.Load())
		return
	}
	for g.open.Load() > 0 && limited.Err() == nil {
		pause(limited, time.Now().Add(openPeriod))
	}
	event.Drained.Log(g.logger, time.Since(began).Milliseconds())
}

// leaving tells whether the router is so close to its end that it takes no request.
func (g *Gateway) leaving(now time.Time) bool {
	return g.draining.Load() && now.UnixNano() > g.last.Load()
}

// pause waits until an instant or the end of the context.
func pause(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stack returns the stack of the calling goroutine.
func stack() string { return string(debug.Stack()) }
