package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// largeBody is the largest body that the config allows, uploads the number of requests with one.
	largeBody = 4 << 20
	uploads   = 54
	// uploadsAtOnce is how many of them are under way at the same time without the disruption. A burst has 1.7 times as many.
	uploadsAtOnce = 32
	// scanWork and bookWork are how long a replica works on a large request and on a booking.
	scanWork = 300 * time.Millisecond
	bookWork = time.Second
	bookers  = 20
	// stableWindow is a little longer than stable_window_ms: from then on the machine is in touch.
	stableWindow = 4500 * time.Millisecond
	// memoryPoll is the time between looks of the platform at the memory of the process.
	memoryPoll = 20 * time.Millisecond
)

// playMemory sends requests with the largest body that the config allows: a few at a time, and with the disruption all at once. The platform
// kills a process that exceeds memory_mb. Other clients use kept channels for bookings.
func playMemory(w *world) []string {
	storeAddress := fmt.Sprintf("%s1:%d", w.ip, storePort)
	w.store.listen(storeAddress)
	routes := []map[string]any{routeOf("r-book", "/book/", "unsafe", "ledger", 5000, 1), routeOf("r-scan", "/scan/", "safe", "ledger", 10000, 2)}
	w.store.putJSON("keyed.op", "config", configOf(7, routes, []string{keyA}))
	var replicas []*replica
	for i := range 3 {
		r := w.newReplica(100+i, fmt.Sprintf("i-%d", i+1), "ledger", "kochi-a", "v1", 64)
		r.serve = func(r *replica, conn net.Conn, q *http.Request, _ []byte) bool {
			work := scanWork
			if strings.HasPrefix(q.URL.Path, "/book/") {
				work = bookWork
			}
			time.Sleep(work)
			return r.answer(conn, q.Header.Get("X-Attempt-Id"))
		}
		r.start()
		replicas = append(replicas, r)
	}
	edge := w.newRouter(11, "kochi-a", storeAddress)
	edge.start()
	edge.awaitReady()
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var peak atomic.Int64
	var platform sync.WaitGroup
	platform.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
			}
			resident := int64(edge.residentMB())
			if resident > peak.Load() {
				peak.Store(resident)
			}
			if resident > memoryMB {
				w.logf("the platform kills %s: it holds %d MB of %d", edge.name, resident, memoryMB)
				edge.kill()
				return
			}
		}
	})
	var mu sync.Mutex
	var bookings []attempt
	var clients sync.WaitGroup
	for range bookers {
		clients.Go(func() {
			c := &client{w: w, address: edge.front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := c.do(request{method: "POST", path: "/book/2f", key: keyA, deadline: 5 * time.Second, body: []byte("booking")})
				mu.Lock()
				bookings = append(bookings, a)
				mu.Unlock()
				if a.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(stableWindow)
	w.logf("the large requests begin, %d MB are resident", edge.residentMB())
	body := make([]byte, largeBody)
	atOnce := make(chan struct{}, uploads)
	if !w.trouble {
		atOnce = make(chan struct{}, uploadsAtOnce)
	}
	var uploaders sync.WaitGroup
	statuses := make(map[string]int)
	for range uploads {
		uploaders.Go(func() {
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			c := &client{w: w, address: edge.front}
			defer c.close()
			a := c.do(request{method: "POST", path: "/scan/2f", key: keyB, deadline: 10 * time.Second, body: body})
			mu.Lock()
			statuses[fmt.Sprint(a.status, a.err != nil)]++
			mu.Unlock()
		})
	}
	uploaders.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	platform.Wait()
	w.logf("at most %d MB were resident; answers to large requests: %v", peak.Load(), statuses)
	ran := make(map[string]runRecord)
	for _, r := range replicas {
		for _, run := range r.allRuns() {
			ran[run.id] = run
		}
	}
	var cut []string
	for _, a := range bookings {
		if run, found := ran[a.id]; found && a.reused && a.status == 0 {
			cut = append(cut, fmt.Sprintf("LOST: booking %s was run by %s at %.3f, and its kept channel ended at %.3f without an answer: %v", a.id,
				run.replicaID, w.since(run.at), w.since(a.endedAt), a.err))
		}
	}
	if len(cut) <= 3 {
		return nil
	}
	return cut
}
