package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = playFreeze }

const (
	// freezeTime is how long the other machine stands still. crowd clients come at once, waves times, waveGap apart.
	freezeTime = 4 * time.Second
	crowd      = 60
	waves      = 5
	waveGap    = 120 * time.Millisecond
	// routeTimeout is the timeout_ms of the route, answerSlack the time after it in which the rule still takes an answer.
	routeTimeout = 2 * time.Second
	answerSlack  = 500 * time.Millisecond
	// clientDeadline is how long a client waits.
	clientDeadline = 3 * time.Second
	// oneCore makes a process see one core, as the machines of the deployment have.
	oneCore = "GOMAXPROCS=1"
	// minUnanswered is the number of requests without an answer from which the rule counts them.
	minUnanswered = 8
)

// playFreeze freezes one of two machines of a zone. Meanwhile clients come to the other one at once.
func playFreeze(w *world) []string {
	storeAddress := fmt.Sprintf("%s1:%d", w.ip, storePort)
	w.store.listen(storeAddress)
	w.store.putJSON("keyed.op", "config", configOf(7, []map[string]any{routeOf("r-book", "/book/", "unsafe", "ledger", 2000, 1)}, []string{keyA}))
	var replicas []*replica
	for i := range 3 {
		r := w.newReplica(100+i, fmt.Sprintf("i-%d", i+1), "ledger", "kochi-a", "v1", 64)
		r.start()
		replicas = append(replicas, r)
	}
	a, b := w.newRouter(11, "kochi-a", storeAddress, oneCore), w.newRouter(12, "kochi-a", storeAddress, oneCore)
	a.start()
	b.start()
	a.awaitReady()
	b.awaitReady()
	time.Sleep(5 * time.Second)
	frozenAt := time.Now()
	if w.trouble {
		b.signal(syscall.SIGSTOP)
	}
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	for range waves {
		time.Sleep(waveGap)
		for range crowd {
			clients.Go(func() {
				c := &client{w: w, address: a.front}
				defer c.close()
				at := c.do(request{method: "POST", path: "/book/2f", key: keyA, deadline: clientDeadline, body: []byte("booking")})
				mu.Lock()
				attempts = append(attempts, at)
				mu.Unlock()
			})
		}
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if w.trouble {
		b.signal(syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(time.Second)
	ran := make(map[string]runRecord)
	for _, r := range replicas {
		for _, run := range r.allRuns() {
			ran[run.id] = run
		}
	}
	var unanswered []string
	late := 0
	for _, at := range attempts {
		took := at.endedAt.Sub(at.sentAt)
		if at.status > 0 && took <= routeTimeout {
			continue
		}
		late++
		if at.status == 0 || took > routeTimeout+answerSlack {
			_, found := ran[at.id]
			unanswered = append(unanswered, fmt.Sprintf("CONFIG: request %s, sent at %.3f to %s, has no answer %.3f s later (run: %t): %v", at.id,
				w.since(at.sentAt), a.name, took.Seconds(), found, at.err))
		}
	}
	w.logf("%d requests: %d without an answer at the timeout of the route, %d of them 0.5 s later", len(attempts), late, len(unanswered))
	if len(unanswered) < minUnanswered || 2*len(unanswered) <= late {
		return nil
	}
	return unanswered
}
