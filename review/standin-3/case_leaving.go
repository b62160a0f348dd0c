package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond
	// ackTime is the time from the store's confirmation that a replica drains until all routers have read it. The case checks that.
	ackTime = 2 * time.Second
	// leaverServes is how long the replica serves after its report: drain_ms, and some seconds longer.
	leaverServes = 7200 * time.Millisecond
)

// playLeaving lets a replica drain, and then the store come back from a copy that is older than the replica's report.
func playLeaving(s *scene) error {
	s.store.put("keyed.op", "config", configuration(1, map[string][]string{"hule930": {"key-of-hule930"}}))
	for _, zone := range []string{"cartago-a", "liberia-a", "limon-a"} {
		added, err := s.addReplica("modelo-pool", zone, 32, 0)
		if err != nil {
			return err
		}
		added.behave = stream(added)
	}
	if err := s.startRouters("cartago-a", "liberia-a", "limon-a"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	draftFor := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(150 * time.Millisecond) {
			for _, r := range s.routers {
				clients.Go(func() {
					n := lastRequest.Load()
					got := send(s.journal, r.front, request{
						method: "POST", path: "/brief/1", key: "key-of-hule930", body: "prompt", deadline: streamDeadline,
						header: map[string]string{"X-Model": "m", "X-Token-Usage": "800,64", "X-Prompt-Prefix": fmt.Sprintf("%x:800", n+100000)},
					})
					mu.Lock()
					defer mu.Unlock()
					answers[got.id] = got
				})
			}
		}
	}
	draftFor(2 * time.Second)
	s.store.takeCopy()
	s.journal.event("the copy of the store is of this moment")
	time.Sleep(500 * time.Millisecond)
	leaver := s.replicas[0]
	if !leaver.leave() {
		return fmt.Errorf("the store has not accepted the report of %s", leaver.id)
	}
	drainAt := time.Now()
	s.journal.event("replica %s reports draining, and the store has accepted it; no client sends for %v", leaver.id, ackTime)
	sleepTo(drainAt, ackTime)
	ackAt := time.Now()
	draftFor(drainTime + 100*time.Millisecond)
	if reached := runsAfter(leaver, ackAt); len(reached) > 0 {
		return fmt.Errorf("the routers had not read the report after %v", ackTime)
	}
	if s.trouble {
		s.store.goAway()
		s.journal.event("the store is away")
		time.Sleep(500 * time.Millisecond)
		for _, r := range s.replicas {
			r.pauseBeats()
		}
		s.store.comeBack(true)
		s.journal.event("the store is back from its copy")
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, r := range s.replicas {
				r.resumeBeats()
			}
			s.journal.event("the replicas have written their entries again")
		})
	}
	time.AfterFunc(time.Until(drainAt.Add(leaverServes)), func() {
		leaver.stop()
		s.journal.event("replica %s ends, %v after its report", leaver.id, time.Since(drainAt).Round(time.Millisecond))
	})
	draftFor(3 * time.Second)
	clients.Wait()
	late := runsAfter(leaver, ackAt.Add(drainTime))
	cut := 0
	for _, r := range late {
		if answers[r.id].err != nil {
			cut++
		}
		s.journal.event("request %s reached %s %.1f s after all machines had acknowledged that it drains; the client got status %d, %d bytes, error %v",
			r.id, leaver.id, r.at.Sub(ackAt).Seconds(), answers[r.id].status, len(answers[r.id].body), answers[r.id].err)
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests, %d of them cut off by the end of the replica", errBroken, len(late), cut)
	}
	return nil
}

// runsAfter returns the runs that a replica has begun after a time.
func runsAfter(r *replica, after time.Time) (found []run) {
	for _, begun := range r.allRuns() {
		if begun.at.After(after) {
			found = append(found, begun)
		}
	}
	return found
}
