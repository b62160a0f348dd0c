package loadreport

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/emulator/delayqueue"
	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
	"github.com/chicorydale/chicorydale/internal/external"
)

// Reporter publishes the load of a target as it was a fixed time ago. It is safe for concurrent use.
type Reporter struct {
	mu        sync.Mutex
	faults    *fault.Injector
	delay     time.Duration
	current   external.LoadReport
	pending   *delayqueue.Queue[external.LoadReport]
	published external.LoadReport
}

// NewReporter returns the reporter of an idle target with a number of slots. Reports lag by delay, and are not updated while
// the fault of the injector has FreezeReports.
func NewReporter(slots int, delay time.Duration, faults *fault.Injector) *Reporter {
	reporter := &Reporter{faults: faults, delay: delay, pending: delayqueue.NewQueue[external.LoadReport](delay)}
	reporter.current = external.LoadReport{MeasuredAt: time.Now(), Slots: slots, Incarnation: uuid.NewString()}
	reporter.published = reporter.current
	return reporter
}

// RegisterHandlers adds the handlers of GET /load and POST /leaving to mux.
func (r *Reporter) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.WriteJSON(w, http.StatusOK, r.PublishedLoad())
	})
	mux.HandleFunc("POST /leaving", func(w http.ResponseWriter, _ *http.Request) {
		r.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
}

// SetLoad sets the numbers of running and queued requests.
func (r *Reporter) SetLoad(running, queued int) {
	r.update(func(load *external.LoadReport) { load.Running, load.Queued = running, queued })
}

// Leave marks the target as leaving.
func (r *Reporter) Leave() {
	r.update(func(load *external.LoadReport) { load.Leaving = true })
}

// Incarnation returns the random id of the current incarnation of the target. It does not lag.
func (r *Reporter) Incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Incarnation
}

// Restart begins a new incarnation with no load and no leaving mark.
func (r *Reporter) Restart() {
	r.update(func(load *external.LoadReport) {
		*load = external.LoadReport{Slots: load.Slots, Incarnation: uuid.NewString()}
	})
}

// PublishedLoad returns the load report that the target publishes now.
func (r *Reporter) PublishedLoad() external.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishDue(time.Now())
	return r.published
}

// update modifies the current load and queues it for publication.
func (r *Reporter) update(modify func(load *external.LoadReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	modify(&r.current)
	r.current.MeasuredAt = now
	r.pending.Put(now, r.current)
	r.publishDue(now)
}

// publishDue publishes the newest load whose lag has passed.
func (r *Reporter) publishDue(now time.Time) {
	if r.faults.Get().FreezeReports {
		return
	}
	for _, load := range r.pending.TakeDue(now) {
		r.published = load
	}
	// The published load still holds at the time that reports lag behind to, because no newer one is due.
	if describedAt := now.Add(-r.delay); describedAt.After(r.published.MeasuredAt) {
		r.published.MeasuredAt = describedAt
	}
}
