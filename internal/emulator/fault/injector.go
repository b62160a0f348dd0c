package fault

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/reply"
)

// bodyBytes bounds the body of a request.
const bodyBytes = 1 << 20

// Injector applies a fault to the requests of a system. The zero value applies none.
type Injector struct {
	mu     sync.Mutex
	fault  Fault
	losses int
}

// Set replaces the fault.
func (i *Injector) Set(fault Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault, i.losses = fault, 0
}

// Get returns the fault.
func (i *Injector) Get() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// Wrap returns a handler that applies the fault to the requests to next and serves GET and POST of /faults itself. A
// POST replaces the whole fault; an empty object brings the system back to normal.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, i.Get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if reply.Parse(w, r, &fault) {
			i.Set(fault)
			reply.JSON(w, http.StatusOK, fault)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { i.apply(w, r, next) })
	return mux
}

// apply serves one request with the fault of its arrival.
func (i *Injector) apply(w http.ResponseWriter, r *http.Request, next http.Handler) {
	fault := i.Get()
	// The body is read before the delay, so that the request takes effect even if the client leaves meanwhile.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytes))
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	switch {
	case fault.DropConnections:
		panic(http.ErrAbortHandler)
	case fault.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Method != http.MethodGet && i.loses() {
		w = lost{ResponseWriter: w}
	}
	next.ServeHTTP(w, r)
}

// loses counts a request that is no GET and tells whether its answer is lost.
func (i *Injector) loses() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.losses++
	return i.fault.DropResponseEvery > 0 && i.losses%i.fault.DropResponseEvery == 0
}
