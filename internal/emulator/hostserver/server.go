package hostserver

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/delayqueue"
	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
	"github.com/chicorydale/chicorydale/internal/external"
)

// Server is the emulated host list. It is safe for concurrent use.
type Server struct {
	http.Handler
	// Faults injects failures; FreezeReports stops updates of the published list.
	Faults fault.Injector

	mu sync.Mutex
	// latest holds all entries, including changes that are not published yet.
	latest  map[string]external.Host
	pending *delayqueue.Queue[change]
	// published holds the entries that GET /hosts returns; version is its version.
	published map[string]external.Host
	version   uint64
}

// New returns an empty host list. Its first version is the current time in milliseconds, so that versions keep increasing
// across restarts of the service.
func New(opts ...Option) *Server {
	s := &Server{
		latest: make(map[string]external.Host), published: make(map[string]external.Host),
		pending: delayqueue.NewQueue[change](0), version: uint64(time.Now().UnixMilli()),
	}
	for _, opt := range opts {
		opt(s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", s.handleList)
	mux.HandleFunc("PUT /hosts/{name}", s.handlePut)
	mux.HandleFunc("DELETE /hosts/{name}", s.handleRemove)
	mux.HandleFunc("POST /hosts/{name}/leaving", s.handleMarkLeaving)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Put adds or replaces the entry of a host.
func (s *Server) Put(host external.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(host)
}

// Remove removes the entry of the named host.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.latest, name)
	s.pending.Put(time.Now(), change{name: name})
}

// Leave marks the entry of the named host as leaving. It returns false if there is no such entry.
func (s *Server) Leave(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, found := s.latest[name]
	if found {
		host.Leaving = true
		s.setLocked(host)
	}
	return found
}

// setLocked sets an entry and queues the change for publication. The caller holds the lock.
func (s *Server) setLocked(host external.Host) {
	s.latest[host.Name] = host
	s.pending.Put(time.Now(), change{name: host.Name, host: &host})
}

// List returns the published list, sorted by name.
func (s *Server) List() external.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Faults.Get().FreezeReports {
		s.publishDue(time.Now())
	}
	list := external.HostList{Version: s.version, Hosts: []external.Host{}}
	for _, name := range slices.Sorted(maps.Keys(s.published)) {
		list.Hosts = append(list.Hosts, s.published[name])
	}
	return list
}

// publishDue applies the changes whose lag has passed to the published list. Each change increments the version.
func (s *Server) publishDue(now time.Time) {
	for _, change := range s.pending.TakeDue(now) {
		s.version++
		if change.host == nil {
			delete(s.published, change.name)
		} else {
			s.published[change.name] = *change.host
		}
	}
}

// handleList serves GET /hosts. The response has no hosts if since is the published version, which the client already has.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	list := s.List()
	if r.FormValue("since") == strconv.FormatUint(list.Version, 10) {
		list.Hosts = nil
	}
	jsonhttp.WriteJSON(w, http.StatusOK, list)
}

// handlePut serves PUT /hosts/{name}.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var host external.Host
	if !jsonhttp.DecodeJSON(w, r, &host) {
		return
	}
	if host.Name == "" || host.Name != r.PathValue("name") {
		http.Error(w, "the name in the body is empty or differs from the name in the path", http.StatusBadRequest)
		return
	}
	s.Put(host)
	w.WriteHeader(http.StatusNoContent)
}

// handleRemove serves DELETE /hosts/{name}.
func (s *Server) handleRemove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// handleMarkLeaving serves POST /hosts/{name}/leaving.
func (s *Server) handleMarkLeaving(w http.ResponseWriter, r *http.Request) {
	if !s.Leave(r.PathValue("name")) {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
