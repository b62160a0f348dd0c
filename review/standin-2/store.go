package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is one record of a topic, without its length.
type record struct {
	raw []byte
}

// key returns the key of a record of a topic whose records have keys, and its value, nil if it has none.
func (r record) key() (string, []byte) {
	if len(r.raw) == 0 || int(r.raw[0]) >= len(r.raw) {
		return "", nil
	}
	end := 1 + int(r.raw[0])
	if end == len(r.raw) {
		return string(r.raw[1:end]), nil
	}
	return string(r.raw[1:end]), r.raw[end:]
}

// store is a stand-in for the platform's store: topics with one partition that keep all records, no groups.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	topics  map[string][]record
	// delay is how much later than usual the store answers.
	delay time.Duration
	// readAt holds the time of the last read of each topic.
	readAt map[string]time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), topics: map[string][]record{}, readAt: map[string]time.Time{}}
}

// start serves the store on a free port of an address and returns where.
func (s *store) start(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chicorydale/log-append", s.handleAppend)
	mux.HandleFunc("GET /chicorydale/log-read", s.handleRead)
	mux.HandleFunc("GET /chicorydale/log-newest", s.handleNewest)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1") // It never comes back from an older copy.
		mux.ServeHTTP(w, r)
	}))
	return listener.Addr().String(), nil
}

// append adds records and returns the offset of the first one, or false if the topic does not end at the wanted offset.
func (s *store) append(topic string, at int, records ...record) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return end, true
}

// put writes a record with a key. A nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.append(topic, -1, record{append(raw, value...)})
}

// putJSON writes a record with a key and a JSON value.
func (s *store) putJSON(topic, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, encoded)
}

// awaitRead waits until a topic is read next, for two seconds at most.
func (s *store) awaitRead(topic string) {
	began := time.Now()
	for time.Since(began) < 2*time.Second {
		s.mu.Lock()
		readAt := s.readAt[topic]
		s.mu.Unlock()
		if readAt.After(began) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// setDelay makes all answers from now on later by a time.
func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// awaitDelay waits as long as an answer is late.
func (s *store) awaitDelay() {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, record{append([]byte(nil), body[4:4+length]...)})
		body = body[4+length:]
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	offset, ok := s.append(r.URL.Query().Get("topic"), at, records...)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end_offset": offset})
		return
	}
	s.awaitDelay()
	writeJSON(w, map[string]int{"offset": offset, "end_offset": offset + len(records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	s.mu.Lock()
	s.readAt[topic] = time.Now()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(all) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first_offset": 0})
			return
		}
		if from == len(all) {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		var page []byte
		page = binary.BigEndian.AppendUint64(page, uint64(len(all)))
		page = binary.BigEndian.AppendUint64(page, 0)
		for _, each := range all[from:] {
			page = binary.BigEndian.AppendUint32(page, uint32(len(each.raw)))
			page = append(page, each.raw...)
		}
		s.awaitDelay()
		_, _ = w.Write(page)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	all := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, each := range all {
		key, value := each.key()
		delete(newest, key)
		if value != nil {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
		}
	}
	items := []item{}
	for _, each := range newest {
		items = append(items, each)
	}
	s.awaitDelay()
	writeJSON(w, map[string]any{"items": items, "more_pages": false, "end_offset": len(all)})
}

func writeJSON(w http.ResponseWriter, value any) {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	_ = json.NewEncoder(w).Encode(value)
}
