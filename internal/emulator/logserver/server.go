package logserver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
	"github.com/chicorydale/chicorydale/internal/external/wire"
)

const (
	// defaultRate is the rate limit of the platform's log service in appends per second.
	defaultRate = 500
	// defaultRetention is twice a claim window of one hour.
	defaultRetention = 2 * time.Hour
	// maxReadWait bounds the time for which a read waits for a record.
	maxReadWait = time.Minute
)

// Server is the emulated log service. It is safe for concurrent use.
type Server struct {
	http.Handler
	// Faults injects failures.
	Faults fault.Injector

	retention time.Duration

	mu            sync.Mutex
	appendLimiter *tokenBucket
	streams       map[string]*stream
}

// New returns an empty log service.
func New(opts ...Option) *Server {
	s := &Server{appendLimiter: newTokenBucket(defaultRate), retention: defaultRetention, streams: make(map[string]*stream)}
	for _, opt := range opts {
		opt(s)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// handleAppend serves POST /streams/{stream}/records.
func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, ok := s.appendRecord(r.PathValue("stream"), data)
	if !ok {
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusCreated, wire.AppendResponse{Offset: offset})
}

// appendRecord appends a record to the named stream and returns its offset. It returns false if the rate limit is exceeded.
func (s *Server) appendRecord(name string, data []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.appendLimiter.allow(now) {
		return 0, false
	}
	return s.liveStream(now, name).append(now, data), true
}

// handleRead serves GET /streams/{stream}/records. It waits only if from is the end of the stream: an offset after the end
// belongs to another log, and its reader must learn that at once.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 32)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxReadWait, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	page, changed := s.readPage(r.PathValue("stream"), from)
	for len(page.Records) == 0 && from == page.EndOffset {
		select {
		case <-changed:
			page, changed = s.readPage(r.PathValue("stream"), from)
			continue
		case <-timer.C:
		case <-r.Context().Done():
		}
		break
	}
	jsonhttp.WriteJSON(w, http.StatusOK, page)
}

// readPage returns a page of the named stream from an offset on, and a channel that is closed by the next append to it.
func (s *Server) readPage(name string, from uint64) (wire.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.liveStream(time.Now(), name)
	return stream.readPage(from), stream.changed
}

// liveStream drops the expired records of the named stream and returns it. It creates the stream if there is none. The caller
// holds the lock.
func (s *Server) liveStream(now time.Time, name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	found.dropBefore(now.Add(-s.retention))
	return found
}
