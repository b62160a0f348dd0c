package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

const (
	// crashTime is how long the replicas that crash are away.
	crashTime     = 2 * time.Second
	turnGap       = 100 * time.Millisecond
	streamCount   = 40
	streamEvents  = 60
	eventGap      = 120 * time.Millisecond
	clientRetries = 3
	streamTimeout = 15 * time.Second
)

// stream is what a client got of one stream, over all its tries.
type stream struct {
	// events holds the software version that wrote each event, by the event's number.
	events map[int]string
	order  []string
	tries  []string
}

// answerStream streams events. Each names the software that wrote it.
func answerStream(r *replica, conn net.Conn, request *http.Request, _ []byte) bool {
	next := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	id := request.Header.Get("X-Attempt-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s-%s-%s\r\nX-Replica-Load: 1,0,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, r.id, id, r.slots)
	for ; err == nil && next <= streamEvents; next++ {
		time.Sleep(eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", next, r.software, r.id, next)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err != nil {
		return false
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// readStream asks for a stream, and takes it up again after a broken channel or a promise.
func readStream(w *world, address string, n int) *stream {
	s := &stream{events: make(map[int]string)}
	started := time.Now()
	first, last := "", 0
	for try := 0; try <= clientRetries; try++ {
		id := fmt.Sprintf("%08x%08x", n, try)
		header := ""
		if last > 0 {
			header = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
		}
		left := streamTimeout - time.Since(started)
		if left <= 0 {
			break
		}
		before := last
		status, wait, err := s.read(address, id, header, left, &last)
		if before == 0 && last > 0 {
			first = id
		}
		s.tries = append(s.tries, fmt.Sprintf("%s: %d after event %d, at event %d: %v", id, status, before, last, err))
		w.logf("client %d: try %s ends: status %d, event %d, %v", n, id, status, last, err)
		if err == nil && status == http.StatusOK {
			return s
		}
		time.Sleep(min(wait, (streamTimeout-time.Since(started))/3))
	}
	return s
}

// read sends one try and reads what comes.
func (s *stream) read(address, id, header string, left time.Duration, last *int) (status int, wait time.Duration, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 200 * time.Millisecond, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(left))
	_, err = fmt.Fprintf(conn, "POST /query/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nX-Model: m\r\nX-Token-Usage: 600,300\r\nX-Prompt-Prefix: 5c1e07a2:200,%s:400\r\n%sContent-Length: 5\r\n\r\nquery",
		hostName, id, left.Milliseconds(), keyA, id[:8], header)
	if err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return 0, 100 * time.Millisecond, err
	}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, wait, nil
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if fields := strings.Fields(line); len(fields) == 4 && fields[0] == "data:" {
			number, _ := strconv.Atoi(fields[3])
			s.events[number] = fields[1]
			s.order = append(s.order, fmt.Sprintf("%s/%s/%d", fields[1], fields[2], number))
			*last = number
		}
		if errors.Is(err, io.EOF) {
			return http.StatusOK, 0, nil
		}
		if err != nil {
			return http.StatusOK, 100 * time.Millisecond, err
		}
	}
}

// playUpgrade has replicas of two software versions side by side. Those of the old one crash, and are back after 2 s under the ids that they
// had, with the new software.
func playUpgrade(w *world) []string {
	storeAddress := fmt.Sprintf("%s1:%d", w.ip, storePort)
	w.store.listen(storeAddress)
	w.store.putJSON("keyed.op", "config", configOf(7, []map[string]any{routeOf("r-query", "/query/", "streaming", "model", 15000, 2)}, []string{keyA}))
	var replicas []*replica
	for i := range 9 {
		software := "v2"
		if i < 2 {
			software = "v1"
		}
		r := w.newReplica(100+i, fmt.Sprintf("i-%d", i+1), "model", "kochi-a", software, 128)
		r.serve = answerStream
		r.start()
		replicas = append(replicas, r)
	}
	edges := []*router{w.newRouter(11, "kochi-a", storeAddress), w.newRouter(12, "thrissur-a", storeAddress)}
	for _, edge := range edges {
		edge.start()
	}
	for _, edge := range edges {
		edge.awaitReady()
	}
	time.Sleep(2 * time.Second)
	streams := make([]*stream, streamCount)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			streams[i] = readStream(w, edges[i%len(edges)].front, i+1)
		})
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		for _, r := range replicas[:2] {
			r.crash()
			time.Sleep(crashTime)
			r.software = "v2"
			r.start()
			time.Sleep(turnGap)
		}
	}
	clients.Wait()
	var breaches []string
	complete := 0
	for i, s := range streams {
		versions := make(map[string]int)
		for _, version := range s.events {
			versions[version]++
		}
		if len(s.events) == streamEvents {
			complete++
		}
		if len(versions) > 1 {
			breaches = append(breaches, fmt.Sprintf("ORDER: stream %d holds events of two software versions: %v; tries: %s", i+1, versions, strings.Join(s.tries, "; ")))
		}
	}
	w.logf("%d of %d streams are complete", complete, len(streams))
	if len(breaches) <= 2 {
		return nil
	}
	return breaches
}
