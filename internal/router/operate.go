package router

import (
	"context"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// operateHandler returns the handler of the operate port, which serves metrics, readiness and liveness. The router is live
// if its tick loop responds.
func (r *Router) operateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metric.Handler(r.metrics.Registry()))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, request *http.Request) {
		ready := false
		err := r.runInLoop(request.Context(), func(now time.Time) { ready = r.isReady(now) })
		if err != nil || !ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // The caller may have disconnected.
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithDeadline(request.Context(), time.Now().Add(shortCallTimeout))
		defer cancel()
		if err := r.runInLoop(ctx, func(time.Time) {}); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("live\n")) // The caller may have disconnected.
	})
	return mux
}

// isReady reports whether the router accepts new requests and lists targets for them. It runs in the tick loop.
func (r *Router) isReady(now time.Time) bool {
	store := r.node.Store()
	return !r.draining.Load() && store.Ready() && !store.Isolated(now) && len(r.node.View().Targets()) > 0
}

// updateGauges updates the gauges, and logs changes of readiness, isolation, configuration and view. It runs in the tick
// loop.
func (r *Router) updateGauges(now time.Time) {
	store := r.node.Store()
	ready := r.isReady(now)
	if ready != r.loggedReady {
		r.loggedReady = ready
		r.logReady(ready)
	}
	isolated := store.Isolated(now)
	if isolated != r.loggedIsolated {
		r.loggedIsolated = isolated
		r.logIsolated(isolated)
	}
	if version := store.State().Version(); version != r.loggedVersion {
		r.logConfig(version)
		r.loggedVersion = version
	}
	r.logView(r.node.View())
	r.metrics.SetGauge(metric.Ready, boolToFloat(ready))
	r.metrics.SetGauge(metric.Isolated, boolToFloat(isolated))
	if live, listed := r.node.View().CountRouters(r.settings.Zone()); listed > 0 {
		r.metrics.SetGauge(metric.ZoneHeardRatio, float64(live)/float64(listed))
	}
	r.metrics.SetGauge(metric.ConfigVersion, float64(r.loggedVersion))
	if readAt := store.ReadAt(); !readAt.IsZero() {
		r.metrics.SetGauge(metric.ConfigStaleness, now.Sub(readAt).Seconds())
	}
	r.updatePoolGauges(now)
}

// updatePoolGauges updates the gauges of requests at this router, and of slots in the pools that it schedules.
func (r *Router) updatePoolGauges(now time.Time) {
	waiting, running := 0, 0
	for _, counts := range r.node.Queue().CountsByCustomer() {
		waiting += counts.Waiting
		running += counts.Running
	}
	r.metrics.SetGauge(metric.RequestsWaiting, float64(waiting))
	r.metrics.SetGauge(metric.RequestsRunning, float64(running))
	busy, free := 0, 0
	pools := r.node.Scheduler().Status(now)
	for _, pool := range pools {
		busy += pool.Running
		free += pool.Free
	}
	r.metrics.SetGauge(metric.ScheduledPools, float64(len(pools)))
	r.metrics.SetGauge(metric.FairnessGap, float64(r.node.Scheduler().FairnessGap())/milliUnitsPerUnit)
	if busy+free > 0 {
		r.metrics.SetGauge(metric.Utilisation, float64(busy)/float64(busy+free))
	}
}

// milliUnitsPerUnit converts costs in milli-units to the units that metrics show.
const milliUnitsPerUnit = 1000

// logReady logs a change of readiness.
func (r *Router) logReady(ready bool) {
	if ready {
		event.Ready.Log(r.logger, r.node.Store().State().Version())
		return
	}
	event.NotReady.Log(r.logger, "no fresh configuration, no targets, or shutting down")
}

// logIsolated logs that the router became isolated from the log and all other routers, or that this has ended.
func (r *Router) logIsolated(isolated bool) {
	live, listed := r.node.View().CountRouters(r.settings.Zone())
	if isolated {
		event.Isolated.Log(r.logger, live, listed)
		return
	}
	event.Rejoined.Log(r.logger, live, listed)
}

// logConfig logs the accepted configuration changes after the version that was logged last, up to the given one.
func (r *Router) logConfig(version uint64) {
	for _, change := range r.node.Store().History() {
		if change.Accepted && change.Version > r.loggedVersion && change.Version <= version {
			event.ConfigApplied.Log(r.logger, change.Version, change.ID, change.Author)
		}
	}
}

// boolToFloat returns the value of a gauge: 1 for true and 0 for false.
func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
