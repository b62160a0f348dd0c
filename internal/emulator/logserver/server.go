package logserver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

const (
	// defaultRate is the rate limit of the platform's log service in appends a second.
	defaultRate = 500
	// defaultRetention covers a claim window of an hour twice.
	defaultRetention = 2 * time.Hour
	// longestWait bounds the wait of a read.
	longestWait = time.Minute
)

// Server is the emulated log service.
type Server struct {
	http.Handler
	// Faults are the faults of the service.
	Faults fault.Injector

	retention time.Duration

	mu      sync.Mutex
	bucket  *bucket
	streams map[string]*stream
}

// New returns an empty log service.
func New(opts ...Option) *Server {
	s := &Server{bucket: newBucket(defaultRate), retention: defaultRetention, streams: make(map[string]*stream)}
	for _, opt := range opts {
		opt(s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.append)
	mux.HandleFunc("GET /streams/{stream}/records", s.read)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// append serves an append.
func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, ok := s.add(r.PathValue("stream"), data)
	if !ok {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	reply.JSON(w, http.StatusCreated, wire.AppendResponse{Offset: offset})
}

// add appends a record unless the rate limit forbids it.
func (s *Server) add(name string, data []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.bucket.take(now) {
		return 0, false
	}
	return s.stream(now, name).add(now, data), true
}

// read serves a read. It waits only if the offset is the end of the stream: an offset after the end is one of another
// log, and its reader must learn that at once.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 32)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(longestWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	page, changed := s.page(r.PathValue("stream"), from)
	for len(page.Records) == 0 && from == page.EndOffset {
		select {
		case <-changed:
			page, changed = s.page(r.PathValue("stream"), from)
			continue
		case <-timer.C:
		case <-r.Context().Done():
		}
		break
	}
	reply.JSON(w, http.StatusOK, page)
}

// page returns a page of a stream and a channel that is closed by the next append to the stream.
func (s *Server) page(name string, from uint64) (wire.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(time.Now(), name)
	return stream.page(from), stream.changed
}

// stream returns a stream without its expired records.
func (s *Server) stream(now time.Time, name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	found.expire(now.Add(-s.retention))
	return found
}
