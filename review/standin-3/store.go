package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	maxReadWait     = 30 * time.Second
	maxPageItems    = 500
	// replicaTopic holds the entries of the replicas.
	replicaTopic   = "keyed.servers"
	entryCheckTime = 100 * time.Millisecond
)

// keyedRecord is the newest record of a key, as log-newest returns it.
type keyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// topic is the only partition of a topic.
type topic struct {
	records [][]byte
	newest  map[string]keyedRecord
}

func (t *topic) clone() *topic {
	return &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
}

// store is the platform's store. It can be away, and come back from an older copy of itself.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic
	copies  map[string]*topic
	era     int
	away    bool
	changed chan struct{}
	// written holds when each entry of a replica was last written, or the store came back.
	written map[string]time.Time
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: make(map[string]*topic), changed: make(chan struct{}), written: make(map[string]time.Time)}
	go s.expireEntries()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chicorydale/log-append", s.handleAppend)
	mux.HandleFunc("GET /chicorydale/log-read", s.handleRead)
	mux.HandleFunc("GET /chicorydale/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, s.wrap(mux)) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// wrap answers 503 while the store is away: nothing was done.
func (s *store) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		next.ServeHTTP(w, r)
	})
}

// takeCopy remembers what the store holds now.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = make(map[string]*topic)
	for name, t := range s.topics {
		s.copies[name] = t.clone()
	}
}

// goAway makes the store refuse all calls, those that wait too.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store answer again, from the copy if restored is set.
func (s *store) comeBack(restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if restored {
		s.topics, s.copies = s.copies, nil
		s.era++
		clear(s.written)
		for key := range s.topicOf(replicaTopic).newest {
			s.written[key] = time.Now()
		}
	}
	s.notify()
}

// notify wakes the reads that wait. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// topicOf returns a topic. The caller holds the lock.
func (s *store) topicOf(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = &topic{newest: make(map[string]keyedRecord)}
		s.topics[name] = found
	}
	return found
}

func (t *topic) append(record []byte) {
	if len(record) > 0 && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyedRecord{Key: key, Value: value, Offset: uint64(len(t.records))}
		}
	}
	t.records = append(t.records, record)
}

// put writes a record for the operator or a replica. It reports false while the store is away. An empty value removes the key.
func (s *store) put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	record := append([]byte{byte(len(key))}, key...)
	s.topicOf(name).append(append(record, value...))
	if name == replicaTopic {
		s.written[key] = time.Now()
	}
	s.notify()
	return true
}

// expireEntries removes the entries of replicas that have been silent for three check-in intervals.
func (s *store) expireEntries() {
	for ; ; time.Sleep(entryCheckTime) {
		s.mu.Lock()
		for key, at := range s.written {
			if !s.away && time.Since(at) > 3*heartbeat {
				delete(s.written, key)
				s.topicOf(replicaTopic).append(append([]byte{byte(len(key))}, key...))
				s.notify()
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.FormValue("topic")
	if name == "keyed.op" || name == replicaTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topicOf(name)
	offset := uint64(len(t.records))
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(offset, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.append(slices.Clone(body[4 : 4+length]))
		body = body[4+length:]
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end_offset": uint64(len(t.records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	s.mu.Lock()
	beganIn := s.era
	s.mu.Unlock()
	for mayWait := true; ; {
		s.mu.Lock()
		if s.away || s.era != beganIn {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t := s.topicOf(r.FormValue("topic"))
		end, changed := uint64(len(t.records)), s.changed
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]uint64{"first_offset": 0})
			return
		}
		response := binary.BigEndian.AppendUint64(nil, end)
		response = binary.BigEndian.AppendUint64(response, 0)
		for _, record := range t.records[from:] {
			response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
			response = append(response, record...)
		}
		s.mu.Unlock()
		if from < end || !mayWait {
			_, _ = w.Write(response)
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

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.FormValue("topic")
	if !strings.HasPrefix(name, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := s.topicOf(name)
	response := struct {
		Items []keyedRecord `json:"items"`
		More  bool          `json:"more_pages"`
		End   uint64        `json:"end_offset"`
	}{Items: []keyedRecord{}, End: uint64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= r.FormValue("after") {
			continue
		}
		if len(response.Items) == maxPageItems {
			response.More = true
			break
		}
		response.Items = append(response.Items, t.newest[key])
	}
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
