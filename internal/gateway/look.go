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
	// lookPeriod is the time between looks at idle connections and gauges.
	lookPeriod = time.Second
	// statePeriods is the number of looks between log lines on the services.
	statePeriods = 5
	// defaultIdle bounds the idle time of connections until a configuration was read.
	defaultIdle = 15 * time.Second
)

// look closes idle connections and updates the gauges until the context ends.
func (g *Gateway) look(ctx context.Context) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	var ready bool
	var dropped uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.callers.sweep(now, g.idleLimit())
			g.client.Prune(now, g.present())
			g.gauges()
			g.logUse()
			g.refusals.flush()
			ready = g.logReady(ready)
			dropped = g.logDropped(dropped)
		}
	}
}

// idleLimit returns how long callers may keep an idle connection.
func (g *Gateway) idleLimit() time.Duration {
	if table := g.config.Table(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return defaultIdle
}

// present returns the names of the targets.
func (g *Gateway) present() map[string]bool {
	present := make(map[string]bool)
	g.scheduler.do(func(core *dispatch.Dispatcher, _ time.Time) {
		for _, name := range core.Targets() {
			present[name] = true
		}
	})
	return present
}

// gauges updates the gauges.
func (g *Gateway) gauges() {
	waiting, running := 0, 0
	var states []dispatch.Status
	g.scheduler.do(func(core *dispatch.Dispatcher, now time.Time) {
		waiting, running, states = core.Waiting(), core.Running(), core.Status(now)
	})
	g.logStates(states)
	g.metrics.Update(metric.Waiting, float64(waiting))
	g.metrics.Update(metric.Running, float64(running))
	g.metrics.Update(metric.ConfigStaleness, g.config.age().Seconds())
	if table := g.config.Table(); table != nil {
		g.metrics.Update(metric.ConfigVersion, float64(table.Version()))
	}
	g.metrics.Update(metric.LogDropped, float64(g.dropped()))
}

// logStates logs what is believed of the targets of each service that is in use.
func (g *Gateway) logStates(states []dispatch.Status) {
	if g.looks++; g.looks%statePeriods != 0 {
		return
	}
	for _, s := range states {
		if s.Running+s.Waiting > 0 {
			event.ServiceState.Log(g.logger, s.Service, s.Targets, s.Sound, s.Open, s.Running, s.Occupied, s.Slots, s.Waiting,
				s.Unread, s.Speed, s.Base.Milliseconds(), s.Pace)
		}
	}
}

// logReady logs a change of readiness and returns the present one.
func (g *Gateway) logReady(before bool) bool {
	ready := g.ready()
	switch {
	case ready && !before:
		event.Ready.Log(g.logger, g.config.Table().Version())
		g.metrics.Update(metric.Ready, 1)
	case !ready && before:
		event.NotReady.Log(g.logger, fmt.Sprintf("draining %t, configuration %v old", g.draining.Load(), g.config.age()))
		g.metrics.Update(metric.Ready, 0)
	}
	return ready
}

// logDropped logs that lines were dropped and returns their number.
func (g *Gateway) logDropped(before uint64) uint64 {
	dropped := g.dropped()
	if dropped > before {
		event.LogGap.Log(g.logger, dropped-before)
	}
	return dropped
}
