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
	"github.com/chicorydale/chicorydale/internal/emulator/jsonhttp"
)

const (
	// keyedPrefix is the prefix of the names of topics whose records have keys.
	keyedPrefix = "keyed."
	// maxReadWait bounds the time for which a read waits for a record.
	maxReadWait = 30 * time.Second
	// defaultReadKB is the size limit of a response to a read that names none, in units of kilobyteBytes.
	defaultReadKB = 1024
	kilobyteBytes = 1024
	// maxPageItems bounds the number of records in a page of the newest records.
	maxPageItems = 50
)

// Server is the emulated store. Each topic has one partition. It is safe for concurrent use.
type Server struct {
	http.Handler
	// Faults injects failures.
	Faults fault.Injector

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is the single partition of a topic. The lock of the server guards it.
type topic struct {
	// firstOffset is the offset of the oldest record that can be read.
	firstOffset uint64
	records     [][]byte
	newestByKey map[string]keyedRecord
	// changed is closed and replaced at each append and each compaction.
	changed chan struct{}
}

// keyedRecord is the newest record of a key, in the form in which log-newest returns it.
type keyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// New returns an empty store.
func New() *Server {
	s := &Server{topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chicorydale/log-append", s.handleAppend)
	mux.HandleFunc("GET /chicorydale/log-read", s.handleRead)
	mux.HandleFunc("GET /chicorydale/log-newest", s.handleNewest)
	s.Handler = s.Faults.Wrap(mux)
	return s
}

// Put appends a record with a key to the named topic. An empty value removes the key.
func (s *Server) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreateTopic(name).append(append(record, value...))
}

// Keys returns the keys of the named topic in sorted order.
func (s *Server) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.getOrCreateTopic(name).newestByKey))
}

// Compact drops all records of the named topic except the newest record of each key. Those remain in the pages of the newest
// records, but can no longer be read by their offsets.
func (s *Server) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.getOrCreateTopic(name)
	t.firstOffset += uint64(len(t.records))
	t.records = nil
	t.notifyReaders()
}

// getOrCreateTopic returns the named topic and creates it if there is none. The caller holds the lock.
func (s *Server) getOrCreateTopic(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = &topic{newestByKey: make(map[string]keyedRecord), changed: make(chan struct{})}
		s.topics[name] = found
	}
	return found
}

// endOffset returns the offset after the newest record.
func (t *topic) endOffset() uint64 { return t.firstOffset + uint64(len(t.records)) }

// append appends a record and wakes the waiting readers. The first byte of a record is the length of its key; the key and the
// value follow. An empty value removes the key.
func (t *topic) append(record []byte) {
	if len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newestByKey, key)
		} else {
			t.newestByKey[key] = keyedRecord{Key: key, Value: value, Offset: t.endOffset()}
		}
	}
	t.records = append(t.records, record)
	t.notifyReaders()
}

// notifyReaders wakes the reads that wait for a change of the topic.
func (t *topic) notifyReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// handleAppend serves POST /chicorydale/log-append. The body holds records, each after its big-endian length of four
// bytes. With an offset at, it responds with status 412 unless the topic ends there.
func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.getOrCreateTopic(r.FormValue("topic"))
	offset := t.endOffset()
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(offset, 10) {
		jsonhttp.WriteJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length == 0 || length > len(body)-4 {
			http.Error(w, "the length of a record is zero or exceeds the body", http.StatusBadRequest)
			return
		}
		t.append(body[4 : 4+length])
		body = body[4+length:]
	}
	jsonhttp.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end_offset": t.endOffset()})
}

// handleRead serves GET /chicorydale/log-read. The response holds the end offset and the first offset, eight bytes each, and
// then the records, each after its length of four bytes, all big-endian. The records are at most max_kb long, but at least one record is
// returned if there is any. It responds with status 410 and the first offset if from is an offset before the first offset.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "offset", http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil {
		waitMS = 0
	}
	maxKB, err := strconv.Atoi(r.FormValue("max_kb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	for mayWait := true; ; {
		response, changed := s.readRecords(r.FormValue("topic"), from, maxKB*kilobyteBytes)
		if response == nil {
			jsonhttp.WriteJSON(w, http.StatusGone, map[string]uint64{"first_offset": s.firstOffset(r.FormValue("topic"))})
			return
		}
		if len(response) > 16 || !mayWait {
			_, _ = w.Write(response) //nolint:gosec // The reader is a router, and may have disconnected.
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			mayWait = false
		case <-r.Context().Done():
			return
		}
	}
}

// firstOffset returns the offset of the oldest record of the named topic that can be read.
func (s *Server) firstOffset(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getOrCreateTopic(name).firstOffset
}

// readRecords returns the response to a read of at most maxBytes of the named topic from an offset on, and a channel that is closed at the
// next change of the topic. The response is nil if the offset is before the first offset.
func (s *Server) readRecords(name string, from uint64, maxBytes int) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.getOrCreateTopic(name)
	if from < t.firstOffset {
		return nil, nil
	}
	response := binary.BigEndian.AppendUint64(nil, t.endOffset())
	response = binary.BigEndian.AppendUint64(response, t.firstOffset)
	for offset := from; offset < t.endOffset(); offset++ {
		record := t.records[offset-t.firstOffset]
		if offset > from && len(response)+len(record) > maxBytes {
			break
		}
		response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
		response = append(response, record...)
	}
	return response, t.changed
}

// handleNewest serves GET /chicorydale/log-newest: a page of the newest records, sorted by key, of the keys greater than after.
func (s *Server) handleNewest(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		http.Error(w, "the records of the topic have no keys", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.getOrCreateTopic(name)
	response := struct {
		Items []keyedRecord `json:"items"`
		More  bool          `json:"more_pages"`
		End   uint64        `json:"end_offset"`
	}{Items: []keyedRecord{}, End: t.endOffset()}
	for _, key := range slices.Sorted(maps.Keys(t.newestByKey)) {
		if key <= r.FormValue("after") {
			continue
		}
		if len(response.Items) == maxPageItems {
			response.More = true
			break
		}
		response.Items = append(response.Items, t.newestByKey[key])
	}
	jsonhttp.WriteJSON(w, http.StatusOK, response)
}
