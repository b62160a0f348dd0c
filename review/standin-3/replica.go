package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is a request that a replica has begun.
type run struct {
	id, path, tenant, router string
	at                       time.Time
}

// replica is one replica of a service.
type replica struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	store                      *store
	journal                    *journal
	listener                   net.Listener
	server                     *http.Server
	born                       int64
	stopBeats                  chan struct{}
	active                     atomic.Int64
	// behave, if set, handles the requests in place of a sound replica. It reports whether it did.
	behave func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	leaving  bool
	hidden   bool
	paused   bool
	runs     []run
}

func startReplica(id, service, zone, version string, slots int, work time.Duration, s *store, j *journal, address string) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, version: version, slots: slots, work: work, store: s, journal: j, listener: listener,
		born: time.Now().UnixMilli(), stopBeats: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go r.beats(r.stopBeats)
	return r, nil
}

func (r *replica) address() string { return r.listener.Addr().String() }

// beats writes the entry of the replica now and then until stop is closed.
func (r *replica) beats(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.beat()
		}
	}
}

// beat writes the entry of the replica. It reports whether the store has accepted it.
func (r *replica) beat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hidden || r.paused {
		return false
	}
	r.sequence++
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": []any{}, "sequence": r.sequence, "born": r.born,
	})
	return r.store.put(replicaTopic, r.id, entry)
}

// leave reports that the replica drains. From then on all its answers say so too.
func (r *replica) leave() bool {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.beat()
}

// stop ends the replica: connections and what runs end with it.
func (r *replica) stop() {
	r.mu.Lock()
	if !r.hidden {
		r.hidden = true
		close(r.stopBeats)
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

// runCount returns the number of runs.
func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if request.URL.Path == "/chicorydale/report" {
		writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 1, "born": r.born})
		return
	}
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.behave != nil && r.behave(w, request) {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if int(r.active.Add(1)) > r.slots {
		r.active.Add(-1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.active.Add(-1)
	r.record(request)
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		r.journal.line("run %s at %s ends: its channel has closed", id, r.id)
		return
	}
	body := fmt.Sprintf("answer to %s", id)
	w.Header().Set("X-Replica-Seal", "3e1b."+r.id)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.active.Load(), r.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// record records that a run begins.
func (r *replica) record(request *http.Request) run {
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	begun := run{request.Header.Get("X-Attempt-Id"), request.URL.Path, request.Header.Get("X-Tenant"), host, time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, begun)
	r.mu.Unlock()
	r.journal.line("run %s %s of tenant %q at %s", begun.id, begun.path, begun.tenant, r.id)
	return begun
}

// pauseBeats keeps the replica from writing its entry until resumeBeats.
func (r *replica) pauseBeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = true
}

// resumeBeats writes the entry at once and goes on with it.
func (r *replica) resumeBeats() {
	r.mu.Lock()
	r.paused = false
	r.mu.Unlock()
	r.beat()
}
