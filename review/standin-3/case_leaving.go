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
)

// playLeaving lets a replica drain, and then the store come back from a copy that is older than the replica's report.
func playLeaving(s *scene) error {
	s.store.put("keyed.op", "config", configuration(1, map[string][]string{"hule930": {"key-of-hule930"}}))
	for _, zone := range []string{"cartago-a", "liberia-a", "limon-a"} {
		if _, err := s.addReplica("taller-app", zone, 6, 30*time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.startRouters("cartago-a", "liberia-a", "limon-a"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	book := func(r *router) {
		clients.Go(func() {
			send(s.journal, r.front, request{method: "POST", path: "/booking/1", key: "key-of-hule930", body: "order", deadline: 3 * time.Second})
		})
	}
	bookFor := func(length, gap time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(gap) {
			for _, r := range s.routers {
				book(r)
			}
		}
	}
	bookFor(2*time.Second, 200*time.Millisecond)
	clients.Wait()
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
	bookFor(drainTime+100*time.Millisecond, 100*time.Millisecond)
	clients.Wait()
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
	bookFor(3*time.Second, 50*time.Millisecond)
	clients.Wait()
	leaver.stop()
	s.journal.event("replica %s ends, %v after its report", leaver.id, time.Since(drainAt).Round(time.Millisecond))
	late := runsAfter(leaver, ackAt.Add(drainTime))
	for _, r := range late {
		s.journal.event("request %s reached %s %.1f s after all machines had acknowledged that it drains", r.id, leaver.id, r.at.Sub(ackAt).Seconds())
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests", errBroken, len(late))
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
