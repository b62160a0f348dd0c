package replicaserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a target treats its next requests.
type Mode int32

// Modes of a target.
const (
	// Normal answers as it should.
	Normal Mode = iota
	// Refusing refuses requests without running them.
	Refusing
	// Failing runs requests and answers with status 500.
	Failing
	// UnsignedUnavailable runs requests and answers with status 503, which does not say that they did not run.
	UnsignedUnavailable
	// ClosingConnection runs requests and closes the connection without an answer.
	ClosingConnection
	// Truncating runs requests and closes the connection in the middle of the answer.
	Truncating
	// Doubled sends each answer twice, the second one with another id.
	Doubled
	// LargeResponse answers with a megabyte; LargeTruncated breaks it off in the middle.
	LargeResponse
	LargeTruncated
	// RestartingStreams begins each stream anew, whatever the caller has got of it.
	RestartingStreams
	// UnsignedSuccess runs requests and answers with a success that lacks the signature.
	UnsignedSuccess
	// Unresponsive runs requests and sends nothing.
	Unresponsive
)

// Run is one run of a request.
type Run struct {
	// ID, Method, URI, Body and Customer are those of the request as it arrived.
	ID, Method, URI, Body, Customer string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// Server is an emulated target.
type Server struct {
	name   string
	slots  int
	events int
	pause  time.Duration
	mode   atomic.Int32

	mu      sync.Mutex
	runs    []Run
	running int
	// left counts the streams that ended because their caller left.
	left int
}

// New returns a target with a name that runs up to slots requests at once. Streams have so many events with a pause
// between them; with no events the target is a plain service.
func New(name string, slots, events int, pause time.Duration) *Server {
	return &Server{name: name, slots: slots, events: events, pause: pause}
}

// SetMode changes the mode.
func (s *Server) SetMode(mode Mode) { s.mode.Store(int32(mode)) }

// Runs returns all runs so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// AbandonedStreams returns the number of streams that ended because their caller left.
func (s *Server) AbandonedStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Replica-Id", s.name)
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != s.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode := Mode(s.mode.Load())
	if !s.begin(r, string(body), mode) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.answer(w, r, mode)
}

// begin enters a run, unless the target refuses or is full.
func (s *Server) begin(r *http.Request, body string, mode Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == Refusing || s.running >= s.slots {
		return false
	}
	s.running++
	s.runs = append(s.runs, Run{
		ID: r.Header.Get("X-Attempt-Id"), Method: r.Method, URI: r.RequestURI, Body: body,
		Customer: r.Header.Get("X-Tenant"), LastEvent: r.Header.Get("Last-Event-Id"),
	})
	return true
}

// end leaves a run.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// load returns the value of the load header.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

// answer answers a run.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, mode Mode) {
	w.Header().Set("X-Replica-Load", s.load())
	switch mode {
	case Unresponsive:
		<-r.Context().Done()
		return
	case ClosingConnection:
		panic(http.ErrAbortHandler)
	case Failing:
		w.Header().Set("X-Replica-Seal", "seal")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case UnsignedUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Doubled:
		s.double(w, r)
		return
	case UnsignedSuccess:
		_, _ = io.WriteString(w, "unsigned") // The caller may be gone.
		return
	case LargeResponse, LargeTruncated:
		long(w, mode)
		return
	case Normal, Refusing, Truncating, RestartingStreams:
	}
	w.Header().Set("X-Replica-Seal", "seal")
	if s.events > 0 {
		s.stream(w, r, mode)
		return
	}
	answer := "answer to " + r.Header.Get("X-Attempt-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if mode == Truncating {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer) //nolint:gosec // The caller is a test, and may be gone.
	if mode == Truncating {
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events that the caller does not have. A torn one stops in the middle of an event.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, mode Mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil || mode == RestartingStreams {
		from = 0
	}
	control := http.NewResponseController(w)
	for number := from + 1; number <= s.events; number++ {
		text := fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number)
		if mode == Truncating && number > s.events/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		if control.Flush() != nil || !wait(r, s.pause) {
			s.mu.Lock()
			s.left++
			s.mu.Unlock()
			return
		}
	}
}

// wait waits for a time; it returns false if the caller left.
func wait(r *http.Request, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// LargeResponseBytes is the length of a long answer.
const LargeResponseBytes = 1 << 20

// long sends an answer of a megabyte, or half of it.
func long(w http.ResponseWriter, mode Mode) {
	w.Header().Set("X-Replica-Seal", "seal")
	w.Header().Set("Content-Length", strconv.Itoa(LargeResponseBytes))
	text := strings.Repeat("0123456789abcdef", LargeResponseBytes/16)
	if mode == LargeTruncated {
		_, _ = io.WriteString(w, text[:LargeResponseBytes/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // The caller may be gone.
}

// double sends an answer and behind it one with another id, on a connection that stays open.
func (s *Server) double(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	write(conn, r.Header.Get("X-Attempt-Id"))
	write(conn, "another")
	_, _ = conn.Read(make([]byte, 1)) // The router closes the connection.
}

// write writes a whole answer to a connection.
func write(conn net.Conn, id string) {
	answer := "answer to " + id
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		id, len(answer), answer)
}
