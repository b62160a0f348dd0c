package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamReplica is a stand-in for a sound model replica: it sends streams of events that may be resumed. It may be killed and started again under
// its id and address, with another version of its software.
type streamReplica struct {
	id, service, zone string
	slots, events     int
	pause             time.Duration
	// slowEvent, if not zero, is an event that takes slowPause to make, wherever the stream goes on.
	slowEvent int
	slowPause time.Duration

	mu       sync.Mutex
	address  string
	version  string
	born     int64
	sequence int
	listener net.Listener
	server   *http.Server
	running  int
	up       bool
	// runs holds each run with the version that ran it.
	runs []streamRun
}

// streamRun is one run of a stream.
type streamRun struct {
	id, replica, version, after string
	at                          time.Time
}

// start starts the replica with a version of its software.
func (p *streamReplica) start(ip, version string) error {
	address := p.address
	if address == "" {
		address = ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address, p.version, p.born, p.sequence, p.running, p.up = listener.Addr().String(), version, time.Now().UnixMilli(), 0, 0, true
	server := &http.Server{Handler: p.handler(version, p.born)}
	p.server = server
	go server.Serve(listener)
	return nil
}

// crash ends the replica: its port closes, and all its channels end.
func (p *streamReplica) crash() {
	p.mu.Lock()
	server := p.server
	p.up = false
	p.mu.Unlock()
	_ = server.Close()
}

// checkIn writes the replica's entry.
func (p *streamReplica) checkIn(s *store) {
	p.mu.Lock()
	p.sequence++
	up := p.up
	entry := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": p.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": p.sequence, "born": p.born,
	}
	p.mu.Unlock()
	if up {
		s.putJSON("keyed.servers", p.id, entry)
	}
}

// handler returns what answers requests to one start of the replica.
func (p *streamReplica) handler(version string, born int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", id)
		if r.URL.Path == "/chicorydale/report" {
			writeJSON(w, map[string]any{"stage": "both", "busy": false, "sequence": 1, "born": born, "queue_depth": 0, "active_requests": 0})
			return
		}
		if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != p.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		p.mu.Lock()
		running := p.running
		if running < p.slots {
			p.running++
			p.runs = append(p.runs, streamRun{id, p.id, version, r.Header.Get("Last-Event-Id"), time.Now()})
		}
		p.mu.Unlock()
		w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", running, p.slots))
		if running >= p.slots {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { p.mu.Lock(); p.running--; p.mu.Unlock() }()
		w.Header().Set("X-Replica-Seal", "seal-"+p.id+"-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		next := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			next = last + 1
		}
		controller := http.NewResponseController(w)
		_ = controller.Flush()
		for ; next <= p.events; next++ {
			if next == p.slowEvent {
				select {
				case <-r.Context().Done():
					return
				case <-time.After(p.slowPause):
				}
			}
			fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", next, version, next, p.events)
			if controller.Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(p.pause):
			}
		}
	}
}

// patience is how clients of streams retry.
type patience struct {
	deadline time.Duration
	// tries is the number of tries in all. A client waits for backoff, or longer if Retry-After says so, before each further one.
	tries   int
	backoff time.Duration
}

// backoffSpread is the largest part by which a client waits longer than its backoff, so that clients don't come back at the same moment.
const backoffSpread = 0.2

// streamTry is one try of a client.
type streamTry struct {
	sentAt, endedAt time.Time
	front, outcome  string
	// takesUp is set if the client had a part of the stream before, wentOn if it got events in this try.
	takesUp, wentOn bool
}

// clientStream is what a client got of one stream, over all its tries.
type clientStream struct {
	id       string
	tries    []string
	versions []string
	lastID   string
	events   int
	complete bool
	sentAt   time.Time
	// firstEnd is when the first try ended.
	firstEnd time.Time
	// all holds the tries in order.
	all []streamTry
}

// readStream begins a stream at one of the routers and takes it up at the next one while it is broken off, twice at most.
func readStream(id string, fronts []string, total int, deadline time.Duration) *clientStream {
	return readStreamPatiently(id, fronts, total, patience{deadline: deadline, tries: 3})
}

// readStreamPatiently begins a stream at one of the routers and takes it up at the next one while it is broken off.
func readStreamPatiently(id string, fronts []string, total int, how patience) *clientStream {
	s := &clientStream{id: id, sentAt: time.Now()}
	deadline := s.sentAt.Add(how.deadline)
	first := ""
	for try := 0; try < how.tries && time.Now().Before(deadline) && !s.complete; try++ {
		attempt := fmt.Sprintf("%s-%d", id, try)
		header := [][2]string{
			{"X-Attempt-Id", attempt},
			{"X-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds())},
			{"X-Credential", "key-1"},
			{"X-Model", "m"},
			{"X-Token-Usage", "600,200"},
			{"X-Prompt-Prefix", "5c1e07a2:200," + fmt.Sprintf("%x", 1000+len(id)) + ":400"},
		}
		if s.lastID != "" {
			header = append(header, [2]string{"Last-Event-Id", s.lastID}, [2]string{"Resumes", first})
		}
		before, sentAt, takesUp := s.events, time.Now(), s.lastID != ""
		outcome, wait := s.try(fronts[try%len(fronts)], header, total, deadline)
		s.tries = append(s.tries, outcome)
		s.all = append(s.all, streamTry{sentAt, time.Now(), fronts[try%len(fronts)], outcome, takesUp, s.events > before})
		if try == 0 {
			s.firstEnd = time.Now()
		}
		if s.events > before && first == "" {
			first = attempt
		}
		if wait < 0 {
			return s
		}
		backoff := how.backoff + time.Duration(rand.Float64()*backoffSpread*float64(how.backoff))
		time.Sleep(max(min(wait, time.Until(deadline)/3), backoff))
	}
	return s
}

// try sends one attempt. It returns how it ended, and how long to wait before the next one, negative for none.
func (s *clientStream) try(front string, header [][2]string, total int, deadline time.Time) (string, time.Duration) {
	opened, err := openChannel(front)
	if err != nil {
		return "no channel", 50 * time.Millisecond
	}
	defer opened.close()
	_ = opened.conn.SetDeadline(deadline)
	if _, err := opened.conn.Write(encodeRequest("POST", "/ask/x", "shop.example", header, []byte("{}"))); err != nil {
		return "not sent", 50 * time.Millisecond
	}
	response, err := http.ReadResponse(opened.reader, nil)
	if err != nil {
		return "no answer", 50 * time.Millisecond
	}
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return fmt.Sprint(response.StatusCode), time.Duration(seconds * float64(time.Second))
	}
	reader := bufio.NewReader(response.Body)
	var pendingID, pendingData string
	for {
		_ = opened.conn.SetReadDeadline(earliest(deadline, time.Now().Add(2*time.Second)))
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			s.complete = s.events >= total
			return fmt.Sprintf("200 to event %s", s.lastID), -1
		}
		if err != nil {
			return fmt.Sprintf("200, cut after event %s", s.lastID), 20 * time.Millisecond
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			pendingID = value
		} else if value, ok := strings.CutPrefix(line, "data: "); ok {
			pendingData = value
		} else if line == "" && pendingID != "" {
			version, _, _ := strings.Cut(pendingData, " ")
			s.lastID = pendingID
			s.events++
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
			pendingID = ""
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
