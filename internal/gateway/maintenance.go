package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
)

const (
	// maintenanceInterval is the time between runs of the maintenance tasks.
	maintenanceInterval = time.Second
	// runsPerStateLog is the number of maintenance runs between log lines about services and about the process.
	runsPerStateLog = 5
	// defaultIdleTimeout is the idle timeout of callers' connections while the configuration sets none.
	defaultIdleTimeout = 15 * time.Second
	// maxCustomerLines is the maximum number of log lines about customers in one maintenance run.
	maxCustomerLines = 8
)

// runMaintenance closes idle connections, updates gauges and writes periodic log lines until ctx ends.
func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var ready bool
	var dropped uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.callerConns.closeIdle(now)
			g.closedConns.sweep(now)
			g.client.Prune(now, g.openTargetNames())
			g.updateGauges()
			g.logProcessState()
			g.logLateness(now)
			g.logUnread()
			g.refusalLog.logSuppressed()
			ready = g.logReadiness(ready)
			dropped = g.logDroppedLines(dropped)
		}
	}
}

// idleTimeout returns how long connections of callers may be idle.
func (g *Gateway) idleTimeout() time.Duration {
	if table := g.config.Table(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

// openTargetNames returns the names of the known targets that do not leave as a set. Idle connections to others are of no use.
func (g *Gateway) openTargetNames() map[string]bool {
	names := make(map[string]bool)
	g.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, _ time.Time) {
		for _, name := range dispatcher.OpenTargetNames() {
			names[name] = true
		}
	})
	return names
}

// updateGauges updates the gauges of requests, of the configuration and of dropped log lines, and logs the service states.
func (g *Gateway) updateGauges() {
	waiting, running := 0, 0
	g.maintenanceRuns++
	var statuses []dispatch.Status
	var customers []dispatch.CustomerStatus
	var notices []dispatch.TargetNotice
	g.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		waiting, running = dispatcher.NumWaiting(), dispatcher.NumRunning()
		customers = dispatcher.TakeCustomerStatuses(now, maxCustomerLines)
		notices = dispatcher.Notices(now)
		if g.maintenanceRuns%runsPerStateLog == 0 {
			statuses = dispatcher.Status(now)
		}
	})
	g.notices.update(time.Now(), notices, g.metrics)
	g.logServiceStates(statuses)
	g.logCustomerStates(customers)
	g.metrics.SetGauge(metric.RequestsWaiting, float64(waiting))
	g.metrics.SetGauge(metric.RequestsRunning, float64(running))
	g.metrics.SetGauge(metric.BodyBudget, float64(g.bodies.Limit()))
	g.metrics.SetGauge(metric.BodyHeld, float64(g.bodies.Held()))
	g.metrics.SetGauge(metric.BodyRefused, float64(g.bodies.Refused()))
	g.metrics.SetGauge(metric.Quarantined, float64(g.suspects.quarantinedCount()))
	g.metrics.SetGauge(metric.ConfigStaleness, g.config.age().Seconds())
	if table := g.config.Table(); table != nil {
		g.metrics.SetGauge(metric.ConfigVersion, float64(table.Version()))
	}
	g.metrics.SetGauge(metric.LogDroppedLines, float64(g.droppedLogLines()))
}

// logServiceStates logs the state of each service with running or waiting requests.
func (g *Gateway) logServiceStates(statuses []dispatch.Status) {
	for _, s := range statuses {
		if s.Running+s.Waiting > 0 {
			event.ServiceState.Log(g.logger, s.Service, s.Targets, s.Healthy, s.Available, s.Running, s.Occupied, s.Slots, s.Waiting,
				s.UnreadTokens, s.TokensPerSecond, s.BaseLatency.Milliseconds(), s.LatencyRatio, s.PeersWaiting)
		}
	}
}

// logCustomerStates logs what the router believes of customers whose requests were refused.
func (g *Gateway) logCustomerStates(customers []dispatch.CustomerStatus) {
	for _, c := range customers {
		event.CustomerState.Log(g.logger, c.Service, c.Customer, c.AskedTokens, c.StartedTokens, c.Refusals, c.Usage, c.Demand,
			c.FairShare)
	}
}

// logReadiness logs a change of readiness and updates its gauge. It returns the current readiness.
func (g *Gateway) logReadiness(wasReady bool) bool {
	ready := g.ready()
	switch {
	case ready && !wasReady:
		event.Ready.Log(g.logger, g.config.Table().Version())
		g.metrics.SetGauge(metric.Ready, 1)
	case !ready && wasReady:
		event.NotReady.Log(g.logger, fmt.Sprintf("draining: %t, too little processor time: %t, age of the configuration: %v",
			g.draining.Load(), g.peers.loads.absent.Load(), g.config.age()))
		g.metrics.SetGauge(metric.Ready, 0)
	}
	return ready
}

// logDroppedLines logs how many log lines were dropped since the previous call. It returns the total number of dropped
// lines.
func (g *Gateway) logDroppedLines(previous uint64) uint64 {
	dropped := g.droppedLogLines()
	if dropped > previous {
		event.LogGap.Log(g.logger, dropped-previous)
	}
	return dropped
}
