package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-stream"] = slowStream }

const (
	slowStreamEvents = 20
	// slowStreamPause is how long one event of each stream takes. Clients wait for two seconds.
	slowStreamPause = 1500 * time.Millisecond
	// slowStreamGrace is the time from SIGTERM to SIGKILL.
	slowStreamGrace = 8 * time.Second
)

// slowStream stops a router, as planned, while sound replicas take longer than usual for one event of each stream.
func slowStream(env *environment) ([]string, error) {
	var replicas []*streamReplica
	for i := range 4 {
		added := &streamReplica{
			id: fmt.Sprintf("i-%d", i), service: "model", zone: "a", slots: 64, events: slowStreamEvents, pause: 50 * time.Millisecond,
			slowEvent: slowStreamEvents / 2, slowPause: slowStreamPause,
		}
		if err := added.start("127.0.0.1", "v1"); err != nil {
			return nil, err
		}
		replicas = append(replicas, added)
	}
	defer keepStreamsRegistered(env.store, replicas)()
	env.store.putJSON("keyed.op", "config", streamConfig(1))
	var fronts []string
	for i := range 2 {
		edge, err := env.addRouter(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.0.%d", i+2), "a", map[string]string{"a": "r"}, env.address)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, edge.front)
	}
	for _, each := range env.routers {
		if err := each.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second) // Longer than stable_window_ms.
	stopped := env.routers[0]
	var mu sync.Mutex
	var streams []*clientStream
	var group sync.WaitGroup
	var termAt time.Time
	for n := range 60 {
		if n == 30 && env.trouble {
			termAt = time.Now()
			env.journal.line("SIGTERM to %s", stopped.name)
			stopped.signal(syscall.SIGTERM)
		}
		group.Go(func() {
			got := readStream(fmt.Sprintf("s%d", n), fronts, slowStreamEvents, 12*time.Second)
			mu.Lock()
			streams = append(streams, got)
			mu.Unlock()
		})
		time.Sleep(50 * time.Millisecond)
	}
	if env.trouble {
		select {
		case <-stopped.exited:
			env.journal.line("%s has ended %v after SIGTERM", stopped.name, time.Since(termAt).Round(time.Millisecond))
		case <-time.After(time.Until(termAt.Add(slowStreamGrace))):
			env.journal.line("SIGKILL to %s", stopped.name)
			stopped.kill()
		}
	}
	group.Wait()
	for _, p := range replicas {
		for _, each := range p.runs {
			env.journal.line("run of %s at %s, after event %q, at %.4f", each.id, each.replica, each.after, each.at.Sub(env.journal.started).Seconds())
		}
	}
	lost, cut, incomplete := 0, 0, 0
	for _, each := range streams {
		env.journal.line("%s sent %.4f: %s", each.id, each.sentAt.Sub(env.journal.started).Seconds(), strings.Join(each.tries, ", "))
		first := each.tries[0]
		if strings.HasPrefix(first, "200, cut") || strings.HasPrefix(first, "no answer") {
			cut++
			if env.trouble && each.firstEnd.After(termAt) && each.firstEnd.Before(termAt.Add(slowStreamGrace*5/6)) {
				lost++
			}
		}
		if !each.complete {
			incomplete++
		}
	}
	summary := fmt.Sprintf("%d streams, %d channels ended without a complete answer, %d of them between the SIGTERM of their router and the last sixth "+
		"of its grace; %d streams never completed, over all tries", len(streams), cut, lost, incomplete)
	env.journal.line("%s", summary)
	fmt.Println(summary)
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d answers", lost)}, nil
	}
	return nil, nil
}

// keepStreamsRegistered writes the entries of replicas to the store, and again at each check-in, until the returned function is called.
func keepStreamsRegistered(s *store, replicas []*streamReplica) (stop func()) {
	ended := make(chan struct{})
	write := func() {
		for _, p := range replicas {
			p.checkIn(s)
		}
	}
	write()
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(1200 * time.Millisecond):
				write()
			}
		}
	}()
	return func() { close(ended) }
}
