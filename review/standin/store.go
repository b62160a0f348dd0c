package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the store, as the settings of a process name them.
const (
	answerTime     = 4 * time.Millisecond
	readBytesPerS  = 80 << 20
	defaultMaxKB   = 1024
	maxNewestItems = 500
	maxNewestBytes = 1 << 20
	maxReadWait    = 30 * time.Second
)

// store is the platform's store: topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// reads serializes the transfer of what reads return: all reads share the bandwidth.
	reads sync.Mutex
}

// topic is the single partition of a topic.
type topic struct {
	records [][]byte
	newest  map[string]item
	changed chan struct{}
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// listen serves the store on an address until the process ends.
func (s *store) listen(address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chicorydale/log-append", s.handleAppend)
	mux.HandleFunc("GET /chicorydale/log-read", s.handleRead)
	mux.HandleFunc("GET /chicorydale/log-newest", s.handleNewest)
	listener, err := net.Listen("tcp", address)
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		w.Header().Set("Store-Era", "0")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
}

// put writes a record of a keyed topic, as the operator or a replica does, and returns the time of the confirmation.
func (s *store) put(name, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(name, append(append([]byte{byte(len(key))}, key...), value...))
	return time.Now()
}

// putJSON is put with a value in JSON.
func (s *store) putJSON(name, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	check(err)
	return s.put(name, key, encoded)
}

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]item), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// append adds a record and wakes the reads that wait.
func (t *topic) append(name string, record []byte) {
	if strings.HasPrefix(name, "keyed.") && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = item{key, base64.StdEncoding.EncodeToString(value), uint64(len(t.records))}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.FormValue("topic")
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := uint64(len(t.records))
	w.Header().Set("Content-Type", "application/json")
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(offset, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]uint64{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		t.append(name, append([]byte(nil), body[4:4+length]...))
		body = body[4+length:]
	}
	_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset, "end_offset": uint64(len(t.records))})
}

// handleRead returns at most max_kb of records, as soon as there is one.
func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	maxKB, err := strconv.Atoi(r.FormValue("max_kb"))
	if err != nil {
		maxKB = defaultMaxKB
	}
	until := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer until.Stop()
	for waits := true; ; {
		answer, gone, changed := s.records(r.FormValue("topic"), from, maxKB<<10)
		if gone {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]uint64{"first_offset": 0})
			return
		}
		if len(answer) > 16 || !waits {
			s.reads.Lock()
			time.Sleep(time.Duration(len(answer)) * time.Second / readBytesPerS)
			s.reads.Unlock()
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

// records returns the answer to a read, or gone if the store doesn't have the offset.
func (s *store) records(name string, from uint64, maxBytes int) (answer []byte, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := uint64(len(t.records))
	if from > end {
		return nil, true, t.changed
	}
	answer = binary.BigEndian.AppendUint64(nil, end)
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for i := from; i < end; i++ {
		if i > from && len(answer)+4+len(t.records[i]) > maxBytes {
			break
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(t.records[i])))
		answer = append(answer, t.records[i]...)
	}
	return answer, false, t.changed
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.FormValue("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"more_pages"`
		End   uint64 `json:"end_offset"`
	}{Items: []item{}, End: uint64(len(t.records))}
	size := 0
	for _, key := range keys {
		size += len(t.newest[key].Value)
		if len(answer.Items) == maxNewestItems || size > maxNewestBytes && len(answer.Items) > 0 {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, t.newest[key])
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
