package report

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/lag"
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Reporter shows the load of a target as it was some time ago.
type Reporter struct {
	mu      sync.Mutex
	faults  *fault.Injector
	delay   time.Duration
	current outside.Load
	pending *lag.Queue[outside.Load]
	shown   outside.Load
}

// NewReporter returns the board of an idle target with a number of slots. Reports lag by delay, and stay as they are while
// the injector's fault has Freeze.
func NewReporter(slots int, delay time.Duration, faults *fault.Injector) *Reporter {
	board := &Reporter{faults: faults, delay: delay, pending: lag.NewQueue[outside.Load](delay)}
	board.current = outside.Load{At: time.Now(), Slots: slots, Incarnation: uuid.NewString()}
	board.shown = board.current
	return board
}

// RegisterHandlers adds the handlers of GET /load and POST /leaving to a mux.
func (b *Reporter) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		reply.WriteJSON(w, http.StatusOK, b.PublishedLoad())
	})
	mux.HandleFunc("POST /leaving", func(w http.ResponseWriter, _ *http.Request) {
		b.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
}

// SetLoad notes the numbers of running and queued requests.
func (b *Reporter) SetLoad(running, queued int) {
	b.change(func(load *outside.Load) { load.Running, load.Queued = running, queued })
}

// Leave notes that the target is about to leave.
func (b *Reporter) Leave() {
	b.change(func(load *outside.Load) { load.Leaving = true })
}

// Incarnation names the present run of the target.
func (b *Reporter) Incarnation() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.Incarnation
}

// Restart notes a new incarnation of an idle target.
func (b *Reporter) Restart() {
	b.change(func(load *outside.Load) {
		*load = outside.Load{Slots: load.Slots, Incarnation: uuid.NewString()}
	})
}

// PublishedLoad returns the report that the target shows.
func (b *Reporter) PublishedLoad() outside.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	return b.shown
}

// change applies a change to the current load.
func (b *Reporter) change(apply func(load *outside.Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	apply(&b.current)
	b.current.At = now
	b.pending.Put(now, b.current)
	b.advance(now)
}

// advance shows the newest load that is old enough.
func (b *Reporter) advance(now time.Time) {
	if b.faults.Get().FreezeReports {
		return
	}
	for _, load := range b.pending.TakeDue(now) {
		b.shown = load
	}
	// The shown load has not changed since, up to the instant that reports lag to.
	if at := now.Add(-b.delay); at.After(b.shown.At) {
		b.shown.At = at
	}
}
