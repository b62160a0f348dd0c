package serviceserver

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
	"github.com/chicorydale/chicorydale/internal/emulator/loadreport"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/wire"
)

const (
	// defaultSlots is the default number of operations that run at the same time.
	defaultSlots = 4
	// defaultReportLag is the default lag of load reports.
	defaultReportLag = 250 * time.Millisecond
)

// Server is the emulated target. It is safe for concurrent use.
type Server struct {
	http.Handler
	// Faults injects failures; FreezeReports stops updates of the published load report.
	Faults fault.Injector

	slots             int
	operationDuration time.Duration
	reportLag         time.Duration
	fencing           bool
	ledger            io.Writer
	crashWord         string
	onCrash           func()
	reporter          *loadreport.Reporter
	slotSemaphore     chan struct{}

	mu sync.Mutex
	// openCalls is the number of calls that run or wait for a slot.
	openCalls int
	// latestFences holds the highest fencing number seen with each key.
	latestFences map[string]uint64
	bookings     []Booking
}

// New returns an idle target.
func New(opts ...Option) *Server {
	s := &Server{
		slots: defaultSlots, reportLag: defaultReportLag, ledger: io.Discard, latestFences: make(map[string]uint64),
		bookings: []Booking{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.reporter = loadreport.NewReporter(s.slots, s.reportLag, &s.Faults)
	s.slotSemaphore = make(chan struct{}, s.slots)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /invoke", s.handleInvoke)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.WriteJSON(w, http.StatusOK, s.Bookings())
	})
	s.reporter.RegisterHandlers(mux)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Bookings returns the bookings so far.
func (s *Server) Bookings() BookingList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return NewBookingList(slices.Clone(s.bookings))
}

// Leave marks the target as leaving in its load reports. It still runs calls that arrive.
func (s *Server) Leave() { s.reporter.Leave() }

// handleInvoke serves POST /invoke.
func (s *Server) handleInvoke(w http.ResponseWriter, r *http.Request) {
	var call external.InvokeRequest
	if !jsonhttp.DecodeJSON(w, r, &call) {
		return
	}
	if call.Operation != "stock" && call.Operation != "book" {
		http.Error(w, "unknown operation: want stock or book", http.StatusNotFound)
		return
	}
	if !s.acceptFence(call) {
		http.Error(w, "the fencing number is lower than the highest one seen with this key", http.StatusPreconditionFailed)
		return
	}
	result, err := s.execute(call)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.triggersCrash(call) {
		if s.onCrash != nil {
			s.onCrash()
		}
		panic(http.ErrAbortHandler)
	}
	jsonhttp.WriteJSON(w, http.StatusOK, wire.InvokeResponse{Values: result})
}

// execute waits for a slot and runs the operation in it, even if the client has disconnected.
func (s *Server) execute(call external.InvokeRequest) (map[string]string, error) {
	s.addOpenCalls(1)
	defer s.addOpenCalls(-1)
	s.slotSemaphore <- struct{}{}
	defer func() { <-s.slotSemaphore }()
	time.Sleep(s.operationDuration)
	if call.Operation == "stock" {
		return StockResult(call.Arguments["item"]), nil
	}
	return s.addBooking(call)
}

// StockResult returns the result of the operation stock for an item, which is a function of the item.
func StockResult(item string) map[string]string {
	return map[string]string{"item": item, "count": strconv.FormatUint(xxhash.Sum64String(item)%1000, 10)}
}

// addBooking appends a booking, writes it to the ledger and returns the result of the operation book. The booking counts even
// if the ledger fails.
func (s *Server) addBooking(call external.InvokeRequest) (map[string]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	booking := Booking{Number: len(s.bookings) + 1, Key: call.IdempotencyKey, Arguments: call.Arguments}
	s.bookings = append(s.bookings, booking)
	if err := json.NewEncoder(s.ledger).Encode(booking); err != nil {
		return nil, err
	}
	return map[string]string{"booking": strconv.Itoa(booking.Number), "item": call.Arguments["item"]}, nil
}

// acceptFence returns false if the call must be rejected because its fencing number is lower than the highest one seen with
// the same key, and records the number otherwise. Calls without a key, or without WithFencing, are always accepted.
func (s *Server) acceptFence(call external.InvokeRequest) bool {
	if !s.fencing || call.IdempotencyKey == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.FencingToken < s.latestFences[call.IdempotencyKey] {
		return false
	}
	s.latestFences[call.IdempotencyKey] = call.FencingToken
	return true
}

// triggersCrash reports whether an argument of the call equals the crash word.
func (s *Server) triggersCrash(call external.InvokeRequest) bool {
	for _, value := range call.Arguments {
		if s.crashWord != "" && value == s.crashWord {
			return true
		}
	}
	return false
}

// addOpenCalls adds delta to the number of calls that run or wait, and updates the load report.
func (s *Server) addOpenCalls(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls += delta
	running := min(s.openCalls, s.slots)
	s.reporter.SetLoad(running, s.openCalls-running)
}
