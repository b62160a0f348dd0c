package hostserver

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/lag"
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Server is the emulated host list.
type Server struct {
	http.Handler
	// Faults are the faults of the service; Freeze keeps the list as it is.
	Faults fault.Injector

	mu      sync.Mutex
	hosts   map[string]outside.Host
	pending *lag.Queue[change]
	shown   map[string]outside.Host
	version uint64
}

// New returns an empty host list. Its first version is the current time in milliseconds, so that versions grow when the
// service restarts.
func New(opts ...Option) *Server {
	s := &Server{
		hosts: make(map[string]outside.Host), shown: make(map[string]outside.Host),
		pending: lag.NewQueue[change](0), version: uint64(time.Now().UnixMilli()),
	}
	for _, opt := range opts {
		opt(s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", s.list)
	mux.HandleFunc("PUT /hosts/{name}", s.put)
	mux.HandleFunc("DELETE /hosts/{name}", s.remove)
	mux.HandleFunc("POST /hosts/{name}/leaving", s.leave)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Put sets an entry.
func (s *Server) Put(host outside.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(host)
}

// Remove removes an entry.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, name)
	s.pending.Put(time.Now(), change{name: name})
}

// Leave marks an entry as leaving and tells whether there is one.
func (s *Server) Leave(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, found := s.hosts[name]
	if found {
		host.Leaving = true
		s.set(host)
	}
	return found
}

// set sets an entry; the caller holds the lock.
func (s *Server) set(host outside.Host) {
	s.hosts[host.Name] = host
	s.pending.Put(time.Now(), change{name: host.Name, host: &host})
}

// List returns the list as it is shown.
func (s *Server) List() outside.HostList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Faults.Get().FreezeReports {
		s.advance(time.Now())
	}
	list := outside.HostList{Version: s.version, Hosts: []outside.Host{}}
	for _, name := range slices.Sorted(maps.Keys(s.shown)) {
		list.Hosts = append(list.Hosts, s.shown[name])
	}
	return list
}

// advance applies the changes that are old enough to the shown list.
func (s *Server) advance(now time.Time) {
	for _, change := range s.pending.Due(now) {
		s.version++
		if change.host == nil {
			delete(s.shown, change.name)
		} else {
			s.shown[change.name] = *change.host
		}
	}
}

// list serves the list, without hosts if it is still the one that the reader has.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list := s.List()
	if r.FormValue("since") == strconv.FormatUint(list.Version, 10) {
		list.Hosts = nil
	}
	reply.JSON(w, http.StatusOK, list)
}

// put serves the setting of an entry.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var host outside.Host
	if !reply.Parse(w, r, &host) {
		return
	}
	if host.Name == "" || host.Name != r.PathValue("name") {
		http.Error(w, "the entry has another name", http.StatusBadRequest)
		return
	}
	s.Put(host)
	w.WriteHeader(http.StatusNoContent)
}

// remove serves the removal of an entry.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// leave serves the marking of an entry.
func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	if !s.Leave(r.PathValue("name")) {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
