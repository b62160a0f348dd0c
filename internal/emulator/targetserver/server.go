package targetserver

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

	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
)

// reportPath is where a target reports its state.
const reportPath = "/chicorydale/report"

// Run records one run of a request.
type Run struct {
	// ID is the attempt id; the others are the method, request URI, body and customer of the request as it arrived.
	ID, Method, URI, Body, Customer string
	// LastEventID is the id of the last event that the caller already has; empty for a new stream.
	LastEventID string
}

// Server is an emulated target. It is safe for concurrent use.
type Server struct {
	name          string
	slots         int
	eventCount    int
	eventInterval time.Duration
	mode          atomic.Int32
	// startUnixMilli is when the target started, by its own report.
	startUnixMilli atomic.Int64

	mu      sync.Mutex
	runs    []Run
	running int
	// deadlines holds the values of the header X-Deadline-Ms of the requests that ran, by attempt id.
	deadlines map[string]string
	// arrivedAt holds the times of the requests that reached the target, run or not; refusedAt is the time of the last refusal.
	arrivedAt []time.Time
	refusedAt time.Time
	// crashPart is the part of a prompt on which the target crashes, crashMode the mode of its last response, crash what ends the
	// target then.
	crashPart string
	crashMode Mode
	crash     func()
	// eventSuffix is the end of the text of each event.
	eventSuffix string
	// rateLimit is the value of the header Server-Limit, empty for none.
	rateLimit string
	// leaving holds the values of the header Server-Leaving of all answers, pause those of Retry-After of the refusals.
	leaving, pause []string
	// endlessBytes is the number of bytes that were sent in the mode EndlessEvent.
	endlessBytes int
	// abandonedStreams counts the streams that ended because the caller disconnected.
	abandonedStreams int
}

// New returns a target that runs up to slots requests at the same time and refuses more. Each stream has eventCount events
// with eventInterval between them; with an event count of zero the target is a plain service.
func New(name string, slots, eventCount int, eventInterval time.Duration) *Server {
	s := &Server{name: name, slots: slots, eventCount: eventCount, eventInterval: eventInterval, deadlines: make(map[string]string)}
	s.startUnixMilli.Store(StartUnixMilli)
	return s
}

// StartUnixMilli is when a target started, in Unix milliseconds, unless Restart was called.
const StartUnixMilli = 1000

// Restart makes the target report another start, as after a restart under the same name and address.
func (s *Server) Restart(startUnixMilli int64) { s.startUnixMilli.Store(startUnixMilli) }

// NameBuild makes the target name a version of its software in each event.
func (s *Server) NameBuild(build string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventSuffix = " of " + build
}

// SetMode sets the mode for the requests that arrive from now on.
func (s *Server) SetMode(mode Mode) { s.mode.Store(int32(mode)) }

// CrashOn makes the target crash on each request whose prompt has a part with the given ID. It sends the head of a response, in the mode
// UnframedTruncated also the beginning of an event, and in the mode Unframed the first event or a half of another response. Then it calls
// crash, which must close the listener and the connections of the target. Other modes do not change how it crashes.
func (s *Server) CrashOn(part string, mode Mode, crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart, s.crashMode, s.crash = part, mode, crash
}

// SetRateLimit sets the limit of requests per second that the target names in its answers; empty for none. It does not enforce it.
func (s *Server) SetRateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = limit
}

// SetLeaving sets the values of the header Server-Leaving of all answers; none to leave it out.
func (s *Server) SetLeaving(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = values
}

// SetPause sets the values of the header Retry-After, in seconds, of the answers with status 503; none to leave it out.
func (s *Server) SetPause(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = values
}

// startAnswer counts a request and sets the headers that the target says about itself; refused adds those of refusals and counts nothing.
func (s *Server) startAnswer(header http.Header, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		s.refusedAt = time.Now()
	} else {
		s.arrivedAt = append(s.arrivedAt, time.Now())
	}
	if len(s.leaving) > 0 {
		header["Server-Leaving"] = s.leaving
	}
	if refused && len(s.pause) > 0 {
		header["Retry-After"] = s.pause
	}
}

// rateLimitHeader returns the value of the header Server-Limit, empty for none.
func (s *Server) rateLimitHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimit
}

// crashFor returns the function that ends the target on a request, or nil if the request does not crash it.
func (s *Server) crashFor(r *http.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashPart == "" || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), s.crashPart+":") {
		return nil
	}
	return s.crash
}

// Runs returns a copy of all runs so far, in the order in which they started.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Deadline returns how long the caller of a request that ran still waited, in milliseconds as in the header X-Deadline-Ms, and whether it ran.
func (s *Server) Deadline(id string) (deadline string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, ran = s.deadlines[id]
	return deadline, ran
}

// Arrivals returns the number of requests that reached the target, run or not.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivedAt)
}

// ArrivedAt returns when the request with an index, counted from 0, reached the target.
func (s *Server) ArrivedAt(index int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivedAt[index]
}

// RefusedAt returns the time of the last refusal, before the caller can have got it. It is zero if there was none.
func (s *Server) RefusedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedAt
}

// AbandonedStreams returns the number of streams that ended because the caller disconnected.
func (s *Server) AbandonedStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandonedStreams
}

// ServeHTTP serves one request. It responds with status 421 if the caller expects another target.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Replica-Id", s.name)
	s.startAnswer(w.Header(), false)
	if r.URL.Path == reportPath {
		jsonhttp.WriteJSON(w, http.StatusOK, map[string]int64{"born": s.startUnixMilli.Load()})
		return
	}
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
	if !s.startRun(r, string(body), mode) {
		s.startAnswer(w.Header(), true)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endRun()
	if crash := s.crashFor(r); crash != nil {
		s.sendCrashingResponse(w, crash)
		return
	}
	s.respond(w, r, mode)
}

// sendCrashingResponse sends the beginning of a response, ends the target with crash and then the connection.
func (s *Server) sendCrashingResponse(w http.ResponseWriter, crash func()) {
	w.Header().Set("X-Replica-Seal", "seal")
	s.mu.Lock()
	mode := s.crashMode
	s.mu.Unlock()
	if mode == Unframed || mode == UnframedTruncated {
		sendUnframedCrash(w, s.crashingText(mode), crash)
		return
	}
	_ = http.NewResponseController(w).Flush() // The caller may have disconnected.
	crash()
	panic(http.ErrAbortHandler)
}

// crashingText returns what an unframed response holds that a crash ends.
func (s *Server) crashingText(mode Mode) string {
	switch {
	case s.eventCount == 0:
		return "answ"
	case mode == UnframedTruncated:
		return "id: 1\nda"
	default:
		return s.eventText(1)
	}
}

// startRun records a run and occupies a slot. It returns false if the mode is Refusing or all slots are occupied.
func (s *Server) startRun(r *http.Request, body string, mode Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == Refusing || s.running >= s.slots {
		return false
	}
	s.running++
	s.runs = append(s.runs, Run{
		ID: r.Header.Get("X-Attempt-Id"), Method: r.Method, URI: r.RequestURI, Body: body,
		Customer: r.Header.Get("X-Tenant"), LastEventID: r.Header.Get("Last-Event-Id"),
	})
	s.deadlines[r.Header.Get("X-Attempt-Id")] = r.Header.Get("X-Deadline-Ms")
	return true
}

// endRun frees the slot of a run.
func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// loadHeader returns the value of the header X-Replica-Load: running requests, queued requests and slots.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

// respond sends the response to a run as the mode determines.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, mode Mode) {
	w.Header().Set("X-Replica-Load", s.loadHeader())
	if limit := s.rateLimitHeader(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
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
	case Duplicating:
		s.sendDuplicateResponse(w, r)
		return
	case UnsignedSuccess:
		_, _ = io.WriteString(w, "unsigned") // The caller may have disconnected.
		return
	case LargeResponse, LargeTruncated, LargeHead:
		sendLargeResponse(w, mode)
		return
	case Unframed, UnframedTruncated:
		s.sendUnframedResponse(w, r, mode)
		return
	case EndlessEvent:
		s.sendEndlessEvent(w)
		return
	case AtDeadline:
		s.respondAtDeadline(w, r)
		return
	case SilentBeforeAnswer:
		if !sleep(r, SilentTime) {
			return
		}
	case Normal, Refusing, Truncating, RestartingStreams, Dripping, SilentInStream:
	}
	w.Header().Set("X-Replica-Seal", "seal")
	if s.eventCount > 0 {
		s.sendEvents(w, r, mode)
		return
	}
	body := "answer to " + r.Header.Get("X-Attempt-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if mode == Truncating {
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body) //nolint:gosec // The caller is a test, and may have disconnected.
	if mode == Truncating {
		panic(http.ErrAbortHandler)
	}
}

// sendEvents sends the events after Last-Event-Id. In the mode Truncating it closes the connection in the middle of an event.
func (s *Server) sendEvents(w http.ResponseWriter, r *http.Request, mode Mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastEvent := lastEventNumber(r)
	if mode == RestartingStreams {
		lastEvent = 0
	}
	controller := http.NewResponseController(w)
	for number := lastEvent + 1; number <= s.eventCount; number++ {
		text := s.eventText(number)
		if mode == Dripping && number == drippingEvent {
			drip(w, r)
			return
		}
		if mode == Truncating && number > s.eventCount/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		pause := s.eventInterval
		if mode == SilentInStream && number == lastEvent+1 {
			pause = SilentTime
		}
		if controller.Flush() != nil || !sleep(r, pause) {
			s.mu.Lock()
			s.abandonedStreams++
			s.mu.Unlock()
			return
		}
	}
}

// drippingEvent is the number of the event that does not end in the mode Dripping, dripInterval the time between its bytes.
const (
	drippingEvent = 3
	dripInterval  = 100 * time.Millisecond
)

// drip sends an event without an end, byte by byte, until the caller disconnects.
func drip(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_, _ = io.WriteString(w, "data: ")
	for controller.Flush() == nil && sleep(r, dripInterval) {
		_, _ = io.WriteString(w, "x")
	}
}

// lastEventNumber returns the number of the last event that the caller already has, 0 for a new stream.
func lastEventNumber(r *http.Request) int {
	number, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return number
}

// eventText returns the event with a number.
func (s *Server) eventText(number int) string {
	return fmt.Sprintf("id: %d\ndata: event %d%s\n\n", number, number, s.eventSuffix)
}

// sleep waits for a duration. It returns false if the caller disconnects first.
func sleep(r *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// LargeResponseBytes is the size that responses announce in the modes LargeResponse, LargeTruncated and LargeHead.
const LargeResponseBytes = 1 << 20

// sendLargeResponse sends LargeResponseBytes bytes, or half of them in the mode LargeTruncated, or none in the mode LargeHead.
func sendLargeResponse(w http.ResponseWriter, mode Mode) {
	w.Header().Set("X-Replica-Seal", "seal")
	w.Header().Set("Content-Length", strconv.Itoa(LargeResponseBytes))
	text := strings.Repeat("0123456789abcdef", LargeResponseBytes/16)
	if mode == LargeHead {
		_ = http.NewResponseController(w).Flush() // The caller may have disconnected.
		panic(http.ErrAbortHandler)
	}
	if mode == LargeTruncated {
		_, _ = io.WriteString(w, text[:LargeResponseBytes/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // The caller may have disconnected.
}

// sendDuplicateResponse sends two responses, the second one with another attempt id, and keeps the connection open until the
// caller closes it.
func (s *Server) sendDuplicateResponse(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	writeResponse(conn, r.Header.Get("X-Attempt-Id"))
	writeResponse(conn, "another")
	_, _ = conn.Read(make([]byte, 1)) // Waits until the router closes the connection.
}

// writeResponse writes a complete signed response to a connection.
func writeResponse(conn net.Conn, id string) {
	body := "answer to " + id
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}
