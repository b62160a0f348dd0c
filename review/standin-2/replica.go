package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, replica, path string
	at                time.Time
}

// replica is a stand-in for a sound replica of an application. It begins at most as many requests as it has slots at the same time, and rejects
// others. At the deadline of a request it stops and answers 504.
type replica struct {
	id, service, zone, address string
	slots                      int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// answer, if set, answers in place of the replica.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	born   int64
	server *http.Server

	mu      sync.Mutex
	running int
	runs    []run
	leaving bool
}

// start serves the replica on a free port of an address.
func (p *replica) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	p.address, p.born = listener.Addr().String(), time.Now().UnixMilli()
	p.server = &http.Server{Handler: p}
	go p.server.Serve(listener)
	return nil
}

// entry returns what the replica says of itself in the store.
func (p *replica) entry(sequence int) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "ready"
	if p.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": p.born,
	}
}

// seal is the signature of an answer.
func (p *replica) seal(id string) string { return "seal-" + p.id + "-" + id }

// ServeHTTP answers one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Id", p.id)
	if r.URL.Path == "/chicorydale/report" {
		writeJSON(w, map[string]any{"stage": "both", "busy": false, "sequence": 1, "born": p.born})
		return
	}
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	running, isLeaving := p.running, p.leaving
	if running < p.slots {
		p.running++
		p.runs = append(p.runs, run{id, p.id, r.URL.Path, received})
	}
	p.mu.Unlock()
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", running, p.slots))
	if isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if running >= p.slots {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { p.mu.Lock(); p.running--; p.mu.Unlock() }()
	if p.answer != nil {
		p.answer(w, r, body)
		return
	}
	work := time.NewTimer(p.work(r))
	defer work.Stop()
	deadline := time.Hour
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil {
			deadline = time.Duration(ms * float64(time.Millisecond))
		}
	}
	end := time.NewTimer(time.Until(received.Add(deadline)))
	defer end.Stop()
	select {
	case <-r.Context().Done():
		return // The caller has left.
	case <-end.C:
		w.Header().Set("X-Replica-Seal", p.seal(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		fmt.Fprintf(w, "%s stopped %s at its deadline", p.id, id)
	case <-work.C:
		w.Header().Set("X-Replica-Seal", p.seal(id))
		fmt.Fprintf(w, "%s ran %s", p.id, id)
	}
}

// keepRegistered writes the entries of replicas to the store, and again at each check-in, until the returned function is called.
func keepRegistered(s *store, replicas []*replica) (stop func()) {
	const checkIn = 1200 * time.Millisecond
	ended := make(chan struct{})
	write := func(sequence int) {
		for _, p := range replicas {
			s.putJSON("keyed.servers", p.id, p.entry(sequence))
		}
	}
	write(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-ended:
				return
			case <-time.After(checkIn):
				write(sequence)
			}
		}
	}()
	return func() { close(ended) }
}

// runsByID returns how often each request ran.
func runsByID(replicas []*replica) map[string]int {
	ran := map[string]int{}
	for _, p := range replicas {
		p.mu.Lock()
		for _, each := range p.runs {
			ran[each.id]++
		}
		p.mu.Unlock()
	}
	return ran
}
