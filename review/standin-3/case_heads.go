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
	"sync/atomic"
	"time"
)

const (
	// headBytes is what a faulty replica sends before it goes on without end. It is less than what a router takes for too much.
	headBytes    = 250 << 10
	streamEvents = 64
	eventGap     = 40 * time.Millisecond
	// firstEventTime is within the 500 ms that are aimed at.
	firstEventTime = 250 * time.Millisecond
	// streamsPerSecond is the rate at each router: that of the small deployment, divided by its machines.
	streamsPerSecond = 66
	// faultyTime is how long the faulty replicas begin answers without end.
	faultyTime = 5500 * time.Millisecond
	// maxUnanswered is how often a machine may close a channel without an answer.
	maxUnanswered = 3
)

// stream answers with a stream of events, as a sound model replica.
func stream(r *replica) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, request *http.Request) bool {
		if int(r.active.Add(1)) > r.slots {
			r.active.Add(-1)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		defer r.active.Add(-1)
		r.record(request)
		time.Sleep(firstEventTime)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Replica-Seal", "3e1b."+r.id)
		w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.active.Load(), r.slots))
		controller := http.NewResponseController(w)
		for i := range streamEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %040d\n\n", i+1, i); err != nil {
				return true
			}
			_ = controller.Flush()
			select {
			case <-request.Context().Done():
				return true
			case <-time.After(eventGap):
			}
		}
		return true
	}
}

// faultyHead returns the bytes with which a faulty replica begins: a head of short lines.
func faultyHead() []byte {
	head := []byte("HTTP/1.1 200 OK\r\n")
	for i := 0; len(head) < headBytes; i++ {
		head = append(strconv.AppendInt(head, int64(i), 36), ":\r\n"...)
	}
	return head
}

// endless answers without end while faulty is set: a head of many lines, and then a body that goes on until the caller closes.
func endless(r *replica, faulty *atomic.Bool, sound func(http.ResponseWriter, *http.Request) bool) func(http.ResponseWriter, *http.Request) bool {
	head := faultyHead()
	return func(w http.ResponseWriter, request *http.Request) bool {
		if !faulty.Load() {
			return sound(w, request)
		}
		_, _ = io.Copy(io.Discard, request.Body)
		r.record(request)
		hijacked, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = hijacked.Close() }()
		go func(reader *bufio.Reader) {
			_, _ = reader.ReadByte()
			_ = hijacked.Close()
		}(buffered.Reader)
		_, err = hijacked.Write(head)
		if err == nil {
			_, err = fmt.Fprintf(hijacked, "X-Attempt-Id: %s\r\nX-Replica-Seal: 3e1b.%s\r\n\r\n", request.Header.Get("X-Attempt-Id"), r.id)
		}
		for ; err == nil; time.Sleep(eventGap) {
			_, err = io.WriteString(hijacked, "data: 0\n\n")
		}
		return true
	}
}

// keptClient is a client that uses one channel for its requests, one after the other, and opens another one when that has ended.
type keptClient struct {
	scene  *scene
	number int
	conn   net.Conn
	reader *bufio.Reader
}

// next sends a request and reads its answer. It returns the id and whether the channel ended without a byte of an answer.
func (c *keptClient) next(front, path string) (id string, unanswered bool) {
	id = fmt.Sprintf("%016x", 0x1c41d07be2000000+lastRequest.Add(1))
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			return id, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.scene.journal.line("sent %s %s on a kept channel of client %d to %s", id, path, c.number, front)
	_ = c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\nX-Credential: key-of-hule930\r\n"+
		"X-Model: m\r\nX-Token-Usage: 800,64\r\nX-Prompt-Prefix: %x:300,%x:500\r\nContent-Length: 6\r\n\r\nprompt", path, hostName, id, 1000+c.number%50, 100000+lastRequest.Load())
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		c.close()
		timeout, isNet := err.(net.Error)
		unanswered = !isNet || !timeout.Timeout()
		c.scene.journal.line("channel of %s has ended without an answer: %v", id, err)
		return id, unanswered
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return id, false
	}
	size, err := io.Copy(io.Discard, response.Body)
	c.scene.journal.line("answered %s: status %d, %d bytes, error %v", id, response.StatusCode, size, err)
	if err != nil || response.Close {
		c.close()
	}
	return id, false
}

func (c *keptClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// anonymousMB returns the memory of a process without that of mapped files, in MB.
func (r *router) anonymousMB() int {
	for line := range strings.Lines(r.status()) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills the router when it exceeds its memory, as the platform does. It returns a function that ends the watch and returns the largest
// memory and whether the process was killed.
func (s *scene) watchMemory(r *router) func() (peak int, killed bool) {
	stop, ended := make(chan struct{}), make(chan struct{})
	peak, killed := 0, false
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			held := r.anonymousMB()
			if peak = max(peak, held); held > memoryMB {
				s.journal.event("%s holds %d MB, over its memory_mb of %d: the platform kills it", r.name, held, memoryMB)
				r.kill()
				killed = true
				return
			}
		}
	}()
	return func() (int, bool) {
		close(stop)
		<-ended
		return peak, killed
	}
}

// playHeads lets some model replicas send bytes without end.
func playHeads(s *scene) error {
	s.store.put("keyed.op", "config", configuration(1, map[string][]string{"hule930": {"key-of-hule930"}}))
	var faulty atomic.Bool
	soundReplicas := make(map[string]bool)
	for i := range 18 {
		added, err := s.addReplica("modelo-pool", []string{"cartago-a", "liberia-a", "limon-a"}[i%3], 32, 0)
		if err != nil {
			return err
		}
		added.behave = stream(added)
		if added.zone == "limon-a" && i < 12 {
			added.behave = endless(added, &faulty, added.behave)
		} else {
			soundReplicas[added.id] = true
		}
	}
	if err := s.startRouters("limon-a", "limon-a"); err != nil {
		return err
	}
	var watches []func() (int, bool)
	for _, r := range s.routers {
		watches = append(watches, s.watchMemory(r))
	}
	var mu sync.Mutex
	unanswered := make(map[string]*router)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, r := range s.routers {
		work := make(chan string)
		clients.Go(func() {
			defer close(work)
			ticker := time.NewTicker(time.Second / streamsPerSecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				select {
				case work <- []string{"/brief/1", "/names/1"}[i%2]:
				default: // All clients wait for answers.
				}
			}
		})
		for number := range 600 {
			clients.Go(func() {
				client := &keptClient{scene: s, number: number}
				defer client.close()
				for path := range work {
					if id, ended := client.next(r.front, path); ended {
						mu.Lock()
						unanswered[id] = r
						mu.Unlock()
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.journal.event("four of eighteen replicas send bytes without end")
		faulty.Store(true)
	}
	time.Sleep(faultyTime)
	faulty.Store(false)
	close(stop)
	for i, watch := range watches {
		peak, killed := watch()
		s.journal.event("%s held %d MB at most, killed: %t", s.routers[i].name, peak, killed)
	}
	clients.Wait()
	lost := make(map[*router]int)
	for _, replica := range s.replicas {
		for _, one := range replica.allRuns() {
			if r, found := unanswered[one.id]; found && soundReplicas[replica.id] {
				lost[r]++
				s.journal.line("request %s ran at the sound replica %s, and %s closed its channel without an answer", one.id, replica.id, r.name)
			}
		}
	}
	for r, count := range lost {
		s.journal.event("%s closed %d channels without an answer to requests that it had passed on to sound replicas", r.name, count)
		if count > maxUnanswered {
			return fmt.Errorf("%w: LOST", errBroken)
		}
	}
	return nil
}
