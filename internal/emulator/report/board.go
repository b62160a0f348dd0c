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

// Board shows the load of a target as it was some time ago.
type Board struct {
	mu      sync.Mutex
	faults  *fault.Injector
	delay   time.Duration
	current outside.LoadReport
	pending *lag.Queue[outside.LoadReport]
	shown   outside.LoadReport
}

// NewBoard returns the board of an idle target with a number of slots. Reports lag by delay, and stay as they are while
// the injector's fault has Freeze.
func NewBoard(slots int, delay time.Duration, faults *fault.Injector) *Board {
	board := &Board{faults: faults, delay: delay, pending: lag.NewQueue[outside.LoadReport](delay)}
	board.current = outside.LoadReport{MeasuredAt: time.Now(), Slots: slots, Incarnation: uuid.NewString()}
	board.shown = board.current
	return board
}

// Handle adds the handlers of GET /load and POST /leaving to a mux.
func (b *Board) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, b.Load())
	})
	mux.HandleFunc("POST /leaving", func(w http.ResponseWriter, _ *http.Request) {
		b.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
}

// Set notes the numbers of running and queued requests.
func (b *Board) Set(running, queued int) {
	b.change(func(load *outside.LoadReport) { load.Running, load.Queued = running, queued })
}

// Leave notes that the target is about to leave.
func (b *Board) Leave() {
	b.change(func(load *outside.LoadReport) { load.Leaving = true })
}

// Incarnation names the present run of the target.
func (b *Board) Incarnation() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.Incarnation
}

// Restart notes a new incarnation of an idle target.
func (b *Board) Restart() {
	b.change(func(load *outside.LoadReport) {
		*load = outside.LoadReport{Slots: load.Slots, Incarnation: uuid.NewString()}
	})
}

// Load returns the report that the target shows.
func (b *Board) Load() outside.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	return b.shown
}

// change applies a change to the current load.
func (b *Board) change(apply func(load *outside.LoadReport)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	apply(&b.current)
	b.current.MeasuredAt = now
	b.pending.Put(now, b.current)
	b.advance(now)
}

// advance shows the newest load that is old enough.
func (b *Board) advance(now time.Time) {
	if b.faults.Get().FreezeReports {
		return
	}
	for _, load := range b.pending.Due(now) {
		b.shown = load
	}
	// The shown load has not changed since, up to the instant that reports lag to.
	if at := now.Add(-b.delay); at.After(b.shown.MeasuredAt) {
		b.shown.MeasuredAt = at
	}
}
