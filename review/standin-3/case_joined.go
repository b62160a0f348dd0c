package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	longStreamEvents = 90
	longEventGap     = 80 * time.Millisecond
	// allowedJoined is how many streams may hold events of two versions.
	allowedJoined  = 2
	streamDeadline = 12 * time.Second
)

// versionStream answers with a stream whose events name the version of the replica. It goes on after Last-Event-Id.
func versionStream(r *replica) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		r.record(request)
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Replica-Seal", "3e1b."+r.id)
		w.Header().Set("X-Replica-Load", fmt.Sprintf("1,0,%d", r.slots))
		controller := http.NewResponseController(w)
		for id := last + 1; id <= longStreamEvents; id++ {
			select {
			case <-request.Context().Done():
				return true
			case <-time.After(longEventGap):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.version); err != nil {
				return true
			}
			_ = controller.Flush()
		}
		return true
	}
}

// received is what a client has got of a stream, over all its tries.
type received struct {
	id       string
	lastID   int
	versions map[string]int
	ended    bool
}

// take sends one try of a stream and reads it to its end. It returns the time after which to come back.
func (got *received) take(s *scene, front string, number int, until time.Time) (comeBack time.Duration) {
	const pause = 200 * time.Millisecond
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+lastRequest.Add(1))
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return pause
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	resume := ""
	if got.lastID > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", got.lastID, got.id)
	}
	s.journal.line("sent %s, last event %d of %q, to %s", id, got.lastID, got.id, front)
	_, err = fmt.Fprintf(conn, "POST /names/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: key-of-hule930\r\n"+
		"X-Model: m\r\nX-Token-Usage: 800,64\r\nX-Prompt-Prefix: %x:300,%x:500\r\n%sContent-Length: 6\r\n\r\nprompt",
		hostName, id, time.Until(until).Milliseconds(), 1000+number%20, 100000+number, resume)
	if err != nil {
		return pause
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return pause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		s.journal.line("answered %s: status %d, Retry-After %.2f", id, response.StatusCode, seconds)
		return max(min(time.Duration(seconds*float64(time.Second)), time.Until(until)/3), pause)
	}
	lines := bufio.NewScanner(response.Body)
	eventID := 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			eventID, _ = strconv.Atoi(value)
		case name == "data":
			if got.id == "" {
				got.id = id
			}
			if got.versions[value] == 0 {
				s.journal.line("stream %s gets event %d of version %s in try %s", got.id, eventID, value, id)
			}
			got.versions[value]++
			got.lastID = eventID
		}
	}
	got.ended = lines.Err() == nil && got.lastID == longStreamEvents
	s.journal.line("try %s has ended after event %d: complete %t, error %v", id, got.lastID, got.ended, lines.Err())
	return 0
}

// playJoined begins a release. Then all routers lose power, and the store comes back from a copy that is older than the release.
func playJoined(s *scene) error {
	config := configuration(1, map[string][]string{"hule930": {"key-of-hule930"}})
	s.store.put("keyed.op", "config", config)
	addReplicas := func(version string, count int) error {
		for i := range count {
			added, err := s.addVersion("modelo-pool", []string{"cartago-a", "liberia-a", "limon-a"}[i%3], version, 32, 0)
			if err != nil {
				return err
			}
			added.behave = versionStream(added)
		}
		return nil
	}
	if err := addReplicas("v1", 6); err != nil {
		return err
	}
	if err := s.startRouters("cartago-a", "liberia-a", "limon-a"); err != nil {
		return err
	}
	var mu sync.Mutex
	var streams []*received
	var clients sync.WaitGroup
	begin := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			number := int(lastRequest.Load())
			got := &received{versions: make(map[string]int)}
			mu.Lock()
			streams = append(streams, got)
			mu.Unlock()
			clients.Go(func() {
				deadline := time.Now().Add(streamDeadline)
				for try := number; !got.ended && time.Now().Before(deadline); try++ {
					time.Sleep(got.take(s, s.routers[try%len(s.routers)].front, number, deadline))
				}
			})
		}
	}
	begin(5 * time.Second)
	s.store.takeCopy()
	s.journal.event("the copy of the store is of this moment")
	time.Sleep(300 * time.Millisecond)
	if err := addReplicas("v2", 6); err != nil {
		return err
	}
	s.journal.event("six replicas of version v2 start beside those of v1")
	begin(4 * time.Second)
	if s.trouble {
		s.store.goAway()
		s.journal.event("the store is away, and all machines of the system lose power")
		for _, r := range s.routers {
			r.kill()
		}
		for _, r := range s.replicas {
			r.pauseBeats()
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range s.routers {
			if err := r.start(); err != nil {
				return err
			}
		}
		s.journal.event("the processes start again")
		time.Sleep(500 * time.Millisecond)
		s.store.comeBack(true)
		s.journal.event("the store is back from its copy")
		time.Sleep(1500 * time.Millisecond)
		for _, r := range s.replicas {
			r.resumeBeats()
		}
		s.journal.event("the replicas have written their entries again")
	}
	clients.Wait()
	joined, ended, second := 0, 0, 0
	for _, got := range streams {
		if got.ended {
			ended++
		}
		if got.versions["v2"] > 0 {
			second++
		}
		if len(got.versions) > 1 {
			joined++
			s.journal.event("stream %s holds events of both versions: %v", got.id, got.versions)
		}
	}
	s.journal.event("%d streams, %d of them complete, %d with events of v2, %d with events of both versions", len(streams), ended, second, joined)
	if second == 0 {
		return fmt.Errorf("no stream began at v2")
	}
	if joined > allowedJoined {
		return fmt.Errorf("%w: ORDER, %d streams", errBroken, joined)
	}
	return nil
}
