package router

import (
	"context"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// operate returns the handler of the operators' port: metrics, readiness and liveness.
func (r *Router) operate() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metric.Handler(r.metrics.Registry()))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, request *http.Request) {
		ready := false
		err := r.do(request.Context(), func(now time.Time) { ready = r.isReady(now) })
		if err != nil || !ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // The caller may be gone.
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithDeadline(request.Context(), time.Now().Add(outsideLimit))
		defer cancel()
		if err := r.do(ctx, func(time.Time) {}); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("live\n")) // The caller may be gone.
	})
	return mux
}

// isReady reports whether the router takes new requests; it runs in the tick loop.
func (r *Router) isReady(now time.Time) bool {
	store := r.node.Store()
	return !r.draining.Load() && store.Ready() && !store.Isolated(now) && len(r.node.View().Targets()) > 0
}

// observe updates the gauges and logs changes of state; it runs in the tick loop.
func (r *Router) observe(now time.Time) {
	store := r.node.Store()
	ready := r.isReady(now)
	if ready != r.ready {
		r.ready = ready
		r.logReady(ready)
	}
	isolated := store.Isolated(now)
	if isolated != r.isolated {
		r.isolated = isolated
		r.logIsolated(isolated)
	}
	if version := store.State().Version(); version != r.version {
		r.logConfig(version)
		r.version = version
	}
	r.logView(r.node.View())
	r.metrics.SetGauge(metric.Ready, number(ready))
	r.metrics.SetGauge(metric.Isolated, number(isolated))
	if live, listed := r.node.View().CountRouters(r.settings.Zone()); listed > 0 {
		r.metrics.SetGauge(metric.ZoneHeardRatio, float64(live)/float64(listed))
	}
	r.metrics.SetGauge(metric.ConfigVersion, float64(r.version))
	if readAt := store.ReadAt(); !readAt.IsZero() {
		r.metrics.SetGauge(metric.ConfigStaleness, now.Sub(readAt).Seconds())
	}
	r.observePools(now)
}

// observePools updates the gauges of requests and slots.
func (r *Router) observePools(now time.Time) {
	waiting, running := 0, 0
	for _, open := range r.node.Queue().CountsByCustomer() {
		waiting += open.Waiting
		running += open.Running
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
	r.metrics.SetGauge(metric.FairnessGap, float64(r.node.Scheduler().FairnessGap())/milliUnits)
	if busy+free > 0 {
		r.metrics.SetGauge(metric.Utilisation, float64(busy)/float64(busy+free))
	}
}

// milliUnits is the number of milli-units in one cost unit.
const milliUnits = 1000

// logReady logs a change of readiness.
func (r *Router) logReady(ready bool) {
	if ready {
		event.Ready.Log(r.logger, r.node.Store().State().Version())
		return
	}
	event.NotReady.Log(r.logger, "no fresh configuration, no targets, or shutting down")
}

// logIsolated logs the loss or return of the log and of all other routers.
func (r *Router) logIsolated(isolated bool) {
	live, listed := r.node.View().CountRouters(r.settings.Zone())
	if isolated {
		event.Isolated.Log(r.logger, live, listed)
		return
	}
	event.Rejoined.Log(r.logger, live, listed)
}

// logConfig logs the changes since the version that was last seen.
func (r *Router) logConfig(version uint64) {
	for _, folded := range r.node.Store().History() {
		if folded.Accepted && folded.Version > r.version && folded.Version <= version {
			event.ConfigApplied.Log(r.logger, folded.Version, folded.ID, folded.Author)
		}
	}
}

// number returns 1 for true and 0 for false.
func number(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
