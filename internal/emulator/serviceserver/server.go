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
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
	"github.com/chicorydale/chicorydale/internal/emulator/report"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

const (
	// defaultSlots is the number of operations that run at the same time.
	defaultSlots = 4
	// defaultLag is the lag of load reports.
	defaultLag = 250 * time.Millisecond
)

// Server is the emulated replica.
type Server struct {
	http.Handler
	// Faults are the faults of the replica; Freeze keeps its load report as it is.
	Faults fault.Injector

	slots     int
	work      time.Duration
	lag       time.Duration
	fencing   bool
	ledger    io.Writer
	crashWord string
	crash     func()
	board     *report.Board
	free      chan struct{}

	mu       sync.Mutex
	open     int
	fences   map[string]uint64
	bookings []Booking
}

// New returns an idle replica.
func New(opts ...Option) *Server {
	s := &Server{
		slots: defaultSlots, lag: defaultLag, ledger: io.Discard, fences: make(map[string]uint64),
		bookings: []Booking{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.board = report.NewBoard(s.slots, s.lag, &s.Faults)
	s.free = make(chan struct{}, s.slots)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /invoke", s.invoke)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, s.Bookings())
	})
	s.board.Handle(mux)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Bookings returns the effects so far.
func (s *Server) Bookings() BookingList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return NewBookings(slices.Clone(s.bookings))
}

// Leave marks the replica as leaving in its load reports. It still runs what arrives.
func (s *Server) Leave() { s.board.Leave() }

// invoke serves a call.
func (s *Server) invoke(w http.ResponseWriter, r *http.Request) {
	var call outside.InvokeRequest
	if !reply.Parse(w, r, &call) {
		return
	}
	if call.Operation != "stock" && call.Operation != "book" {
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	if !s.fence(call) {
		http.Error(w, "the fence is old", http.StatusPreconditionFailed)
		return
	}
	result, err := s.run(call)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.deadly(call) {
		if s.crash != nil {
			s.crash()
		}
		panic(http.ErrAbortHandler)
	}
	reply.JSON(w, http.StatusOK, wire.InvokeResponse{Values: result})
}

// run runs an operation in a slot, whether its client waits or not.
func (s *Server) run(call outside.InvokeRequest) (map[string]string, error) {
	s.count(1)
	defer s.count(-1)
	s.free <- struct{}{}
	defer func() { <-s.free }()
	time.Sleep(s.work)
	if call.Operation == "stock" {
		return StockResult(call.Arguments["item"]), nil
	}
	return s.book(call)
}

// StockResult returns the answer of the operation stock for an item.
func StockResult(item string) map[string]string {
	return map[string]string{"item": item, "count": strconv.FormatUint(xxhash.Sum64String(item)%1000, 10)}
}

// book adds a booking.
func (s *Server) book(call outside.InvokeRequest) (map[string]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	booking := Booking{Number: len(s.bookings) + 1, Key: call.IdempotencyKey, Arguments: call.Arguments}
	s.bookings = append(s.bookings, booking)
	if err := json.NewEncoder(s.ledger).Encode(booking); err != nil {
		return nil, err
	}
	return map[string]string{"booking": strconv.Itoa(booking.Number), "item": call.Arguments["item"]}, nil
}

// fence notes the fence of a call and returns false if the replica refuses it.
func (s *Server) fence(call outside.InvokeRequest) bool {
	if !s.fencing || call.IdempotencyKey == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.FencingToken < s.fences[call.IdempotencyKey] {
		return false
	}
	s.fences[call.IdempotencyKey] = call.FencingToken
	return true
}

// deadly tells whether a call makes the replica crash.
func (s *Server) deadly(call outside.InvokeRequest) bool {
	for _, value := range call.Arguments {
		if s.crashWord != "" && value == s.crashWord {
			return true
		}
	}
	return false
}

// count changes the number of open calls and reports the load.
func (s *Server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	running := min(s.open, s.slots)
	s.board.Set(running, s.open-running)
}
