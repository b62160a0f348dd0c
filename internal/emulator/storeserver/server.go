package storeserver

import (
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/reply"
)

const (
	// keyedPrefix begins the names of topics whose records have keys.
	keyedPrefix = "keyed."
	// longestWait bounds the wait of a read.
	longestWait = 30 * time.Second
	// pageItems is the number of records in a page of the newest ones.
	pageItems = 50
)

// Server is the emulated store. Each topic has one partition.
type Server struct {
	http.Handler
	// Faults are the faults of the store.
	Faults fault.Injector

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is the only partition of a topic.
type topic struct {
	first   uint64
	records [][]byte
	newest  map[string]item
	changed chan struct{}
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// New returns an empty store.
func New() *Server {
	s := &Server{topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chicorydale/log-append", s.append)
	mux.HandleFunc("GET /chicorydale/log-read", s.read)
	mux.HandleFunc("GET /chicorydale/log-newest", s.latest)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Put writes a record with a key; without a value the key is dropped.
func (s *Server) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(record, value...))
}

// Keys returns the keys of a topic.
func (s *Server) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topic(name).newest))
}

// Compact drops all records of a topic but the newest of each key, which can no longer be read by their offsets.
func (s *Server) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	compacted := s.topic(name)
	compacted.first += uint64(len(compacted.records))
	compacted.records = nil
	compacted.wake()
}

// topic returns a topic and creates it if there is none.
func (s *Server) topic(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = &topic{newest: make(map[string]item), changed: make(chan struct{})}
		s.topics[name] = found
	}
	return found
}

// end returns the offset after the newest record.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// add appends a record.
func (t *topic) add(record []byte) {
	if len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = item{Key: key, Value: value, Offset: t.end()}
		}
	}
	t.records = append(t.records, record)
	t.wake()
}

// wake lets the waiting reads look again.
func (t *topic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// append serves an append.
func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	appended := s.topic(r.FormValue("topic"))
	offset := appended.end()
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length == 0 || length > len(body)-4 {
			http.Error(w, "torn record", http.StatusBadRequest)
			return
		}
		appended.add(body[4 : 4+length])
		body = body[4+length:]
	}
	reply.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end_offset": appended.end()})
}

// read serves a read: two offsets, then the records with their lengths.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "offset", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, longestWait))
	defer timer.Stop()
	for waiting := true; ; {
		answer, changed := s.take(r.FormValue("topic"), from)
		if answer == nil {
			reply.WriteJSON(w, http.StatusGone, map[string]uint64{"first_offset": s.first(r.FormValue("topic"))})
			return
		}
		if len(answer) > 16 || !waiting {
			_, _ = w.Write(answer) //nolint:gosec // The reader is a router, and may be gone.
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// first returns the offset of the oldest record.
func (s *Server) first(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).first
}

// take returns the answer to a read, nil if the records are gone, and a channel that is closed by the next change.
func (s *Server) take(name string, from uint64) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, nil
	}
	answer := binary.BigEndian.AppendUint64(nil, t.end())
	answer = binary.BigEndian.AppendUint64(answer, t.first)
	for offset := from; offset < t.end(); offset++ {
		record := t.records[offset-t.first]
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
		answer = append(answer, record...)
	}
	return answer, t.changed
}

// latest serves a page of the newest records of the keys.
func (s *Server) latest(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		http.Error(w, "the topic has no keys", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"more_pages"`
		End   uint64 `json:"end_offset"`
	}{Items: []item{}, End: t.end()}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= r.FormValue("after") {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, t.newest[key])
	}
	reply.WriteJSON(w, http.StatusOK, answer)
}
