package engineserver

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
	"github.com/chicorydale/chicorydale/internal/emulator/report"
	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	// defaultKeep is the time for which ended streams can be resumed.
	defaultKeep = time.Minute
	// defaultLag is the lag of load reports.
	defaultLag = 250 * time.Millisecond
)

// Server is the emulated engine.
type Server struct {
	http.Handler
	// Faults are the faults of the engine; Freeze keeps its load report as it is.
	Faults fault.Injector

	slots     int
	interval  time.Duration
	keep      time.Duration
	lag       time.Duration
	crashWord string
	crash     func()
	board     *report.Board
	once      sync.Once
	closed    chan struct{}

	mu      sync.Mutex
	streams map[string]*generation
	batch   []*generation
	waiting []*generation
	ended   []*generation
	active  bool
}

// New returns an idle engine with a number of slots and a token interval.
func New(slots int, interval time.Duration, opts ...Option) *Server {
	s := &Server{
		slots: slots, interval: interval, keep: defaultKeep, lag: defaultLag, streams: make(map[string]*generation),
		closed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.board = report.NewBoard(slots, s.lag, &s.Faults)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", s.generate)
	mux.HandleFunc("GET /streams/{stream}", s.resume)
	mux.HandleFunc("DELETE /streams/{stream}", s.remove)
	s.board.Handle(mux)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// generate serves the start of a call.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var call outside.GenerateRequest
	if !reply.Parse(w, r, &call) {
		return
	}
	if call.StreamID == "" || call.MaxTokens < 1 {
		http.Error(w, "a call needs a stream and at least one token", http.StatusBadRequest)
		return
	}
	g := newGeneration(call, s.crashWord)
	if !s.admit(g) {
		http.Error(w, "the stream exists", http.StatusConflict)
		return
	}
	s.send(w, r, g, 0)
}

// resume serves an attachment to a stream.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is no token index", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.streams[r.PathValue("stream")]
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if from > g.transcript.TokenCount() {
		http.Error(w, "the stream ends before", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	s.send(w, r, g, from)
}

// remove serves a cancellation.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !s.cancel(r.PathValue("stream")) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
