package fault

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// Injector applies a fault to the requests of an emulated system. The zero value injects no failure. It is safe for concurrent
// use.
type Injector struct {
	mu    sync.Mutex
	fault Fault
	// nonGetRequests counts the requests other than GET since the fault was set.
	nonGetRequests int
}

// Set replaces the fault and restarts the count for DropResponseEvery.
func (i *Injector) Set(fault Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault, i.nonGetRequests = fault, 0
}

// Get returns the current fault.
func (i *Injector) Get() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// Wrap returns a handler that applies the fault to the requests to next. It also serves GET /faults, which returns the
// fault, and POST /faults, which replaces the whole fault; an empty JSON object removes it. Neither is subject to the fault.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.WriteJSON(w, http.StatusOK, i.Get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if jsonhttp.DecodeJSON(w, r, &fault) {
			i.Set(fault)
			jsonhttp.WriteJSON(w, http.StatusOK, fault)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { i.apply(w, r, next) })
	return mux
}

// apply serves one request with the fault that was set when it arrived.
func (i *Injector) apply(w http.ResponseWriter, r *http.Request, next http.Handler) {
	fault := i.Get()
	// The body is read before the delay, so that the request takes effect even if the client disconnects in the meantime.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	if r.Method != http.MethodGet && i.shouldDropResponse() {
		w = responseDropper{ResponseWriter: w}
	}
	next.ServeHTTP(w, r)
}

// shouldDropResponse counts a request other than GET and reports whether its response is to be dropped.
func (i *Injector) shouldDropResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.nonGetRequests++
	return i.fault.DropResponseEvery > 0 && i.nonGetRequests%i.fault.DropResponseEvery == 0
}
