package gateway

import (
	"runtime"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// latenessLogThreshold is the delay of periodic work from which the state of the process is logged at every maintenance
// run.
const latenessLogThreshold = 100 * time.Millisecond

// processUsage holds the resource usage of the process when its state was last logged, and the number of maintenance runs
// since.
type processUsage struct {
	cpuTime      time.Duration
	gcCycles     uint64
	runsSinceLog int
}

// logProcessState logs the resource usage of the process every runsPerStateLog calls, or at once if periodic work was
// late.
func (g *Gateway) logProcessState() {
	lateness := g.lateness.takeWorst()
	g.metrics.SetGauge(metric.MaxLateness, lateness.Seconds())
	if g.usageAtLastLog.runsSinceLog++; g.usageAtLastLog.runsSinceLog < runsPerStateLog && lateness < latenessLogThreshold {
		return
	}
	var usage unix.Rusage
	cpuTime := g.usageAtLastLog.cpuTime
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		cpuTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	gcCycles := samples[0].Value.Uint64()
	conns := g.callerConns.count()
	event.ProcessState.Log(g.logger, (cpuTime - g.usageAtLastLog.cpuTime).Milliseconds(), lateness.Milliseconds(),
		gcCycles-g.usageAtLastLog.gcCycles, samples[1].Value.Uint64()>>10, runtime.NumGoroutine(),
		conns.unused, conns.active, conns.idle, g.client.IdleConns(),
		g.handovers.counts.accepted.Swap(0), g.handovers.counts.passed.Swap(0), g.handovers.counts.takenOver.Swap(0))
	g.usageAtLastLog = processUsage{cpuTime: cpuTime, gcCycles: gcCycles}
}

// logLateness logs how many new connections this late router refused or kept since the last call, and why, if there were any.
func (g *Gateway) logLateness(now time.Time) {
	counts := &g.handovers.counts
	refused, withoutPeer, atLimit := counts.refused.Swap(0), counts.keptWithoutPeer.Swap(0), counts.keptAtLimit.Swap(0)
	unconfirmed, afterFailure := counts.keptUnconfirmed.Swap(0), counts.keptAfterFailure.Swap(0)
	byPeer, byRouter, brokenOff := counts.answeredByPeer.Swap(0), counts.answeredByRouter.Swap(0), counts.brokenOff.Swap(0)
	queued := time.Duration(counts.longestQueued.Swap(0))
	if refused+withoutPeer+atLimit+unconfirmed+afterFailure+byRouter+brokenOff == 0 {
		return
	}
	g.metrics.CountRefusals(refusal.Overloaded, refused)
	open, spare := g.handovers.state(now)
	event.HostLate.Log(g.logger, withoutPeer, atLimit, unconfirmed, afterFailure, open, spare.Milliseconds(), refused, byPeer, byRouter, brokenOff,
		queued.Milliseconds())
}

// logUnread logs what was refused unread since the last call, by customer, beside what the fleet knows of the customer.
func (g *Gateway) logUnread() {
	counts := g.handovers.unread.take(maxCustomerLines)
	if len(counts) == 0 {
		return
	}
	states := make([]dispatch.ShareState, len(counts))
	g.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		for i, count := range counts {
			states[i] = dispatcher.ShareState(now, count.service, count.customer)
		}
	})
	for i, count := range counts {
		event.CustomerUnread.Log(g.logger, count.service, count.customer, count.requests, int(count.tokens), int(states[i].Usage),
			int(states[i].Demand), int(states[i].FairShare))
	}
}
