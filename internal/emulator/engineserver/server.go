package engineserver

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
	"github.com/chicorydale/chicorydale/internal/emulator/loadreport"
	"github.com/chicorydale/chicorydale/internal/external"
)

const (
	// defaultStreamRetention is the default time for which ended streams can be resumed.
	defaultStreamRetention = time.Minute
	// defaultReportLag is the default lag of load reports.
	defaultReportLag = 250 * time.Millisecond
)

// Server is the emulated engine. It is safe for concurrent use.
type Server struct {
	http.Handler
	// Faults injects failures; FreezeReports stops updates of the published load report.
	Faults fault.Injector

	slots           int
	tokenInterval   time.Duration
	streamRetention time.Duration
	reportLag       time.Duration
	crashWord       string
	onCrash         func()
	reporter        *loadreport.Reporter
	closeOnce       sync.Once
	closed          chan struct{}

	mu sync.Mutex
	// streams holds all generations that can be resumed, by stream id.
	streams map[string]*generation
	batch   []*generation
	waiting []*generation
	// endedStreams are the generations that are kept for resumption, in the order in which they ended.
	endedStreams []*generation
	// stepping is set while a goroutine runs runBatch.
	stepping bool
}

// New returns an idle engine with the given number of slots, the maximum size of the batch. Each request in the batch gets one
// token per token interval.
func New(slots int, tokenInterval time.Duration, opts ...Option) *Server {
	s := &Server{
		slots: slots, tokenInterval: tokenInterval, streamRetention: defaultStreamRetention, reportLag: defaultReportLag,
		streams: make(map[string]*generation), closed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.reporter = loadreport.NewReporter(slots, s.reportLag, &s.Faults)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", s.handleGenerate)
	mux.HandleFunc("GET /streams/{stream}", s.handleResume)
	mux.HandleFunc("DELETE /streams/{stream}", s.handleCancel)
	s.reporter.RegisterHandlers(mux)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// handleGenerate serves POST /generate.
func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var call external.GenerateRequest
	if !jsonhttp.DecodeJSON(w, r, &call) {
		return
	}
	if call.StreamID == "" || call.MaxTokens < 1 {
		http.Error(w, "the call has no stream id, or max_tokens is less than 1", http.StatusBadRequest)
		return
	}
	g := newGeneration(call, s.crashWord)
	if !s.admit(g) {
		http.Error(w, "a stream with this id exists already", http.StatusConflict)
		return
	}
	s.streamTokens(w, r, g, 0)
}

// handleResume serves GET /streams/{stream}.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is not a token index", http.StatusBadRequest)
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
		http.Error(w, "the stream ends before the token index from", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	s.streamTokens(w, r, g, from)
}

// handleCancel serves DELETE /streams/{stream}.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !s.cancel(r.PathValue("stream")) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
