package main

import (
	"fmt"
	"sync"
	"time"
)

const revokeTime = 5 * time.Second

// playRevoked takes a key away. Some seconds later a router is killed, and the store comes back from a copy that still has the key.
func playRevoked(s *scene) error {
	const kept, revoked = "key-of-hule930", "key-of-mapo114"
	s.store.put("keyed.op", "config", configuration(1, map[string][]string{"hule930": {kept}, "mapo114": {revoked}}))
	for _, zone := range []string{"cartago-a", "liberia-a", "limon-a"} {
		if _, err := s.addReplica("taller-app", zone, 6, 30*time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.startRouters("cartago-a", "cartago-a", "liberia-a", "limon-a"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	bookFor := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, r := range s.routers {
				for _, key := range []string{kept, revoked} {
					clients.Go(func() {
						got := send(s.journal, r.front, request{method: "POST", path: "/booking/1", key: key, body: "order", deadline: 3 * time.Second})
						mu.Lock()
						defer mu.Unlock()
						if key == revoked {
							answers = append(answers, got)
						}
					})
				}
			}
		}
	}
	bookFor(time.Second)
	s.store.takeCopy()
	s.journal.event("the copy of the store is of this moment")
	time.Sleep(200 * time.Millisecond)
	second := configuration(2, map[string][]string{"hule930": {kept}, "mapo114": {}})
	s.store.put("keyed.op", "config", second)
	confirmedAt := time.Now()
	s.journal.event("the store confirms version 2 of the config, without the key of mapo114")
	victim := s.routers[0]
	bookFor(5200 * time.Millisecond)
	if s.trouble {
		s.journal.event("%s is killed", victim.name)
		victim.kill()
		s.store.goAway()
		s.journal.event("the store is away")
		time.Sleep(300 * time.Millisecond)
		if err := victim.start(); err != nil {
			return err
		}
		s.journal.event("%s starts again", victim.name)
		time.Sleep(700 * time.Millisecond)
		s.store.comeBack(true)
		s.journal.event("the store is back from its copy")
		time.AfterFunc(1500*time.Millisecond, func() {
			s.store.put("keyed.op", "config", second)
			s.journal.event("the operator has written version 2 again")
		})
	}
	bookFor(4 * time.Second)
	clients.Wait()
	begun := make(map[string]run)
	for _, r := range s.replicas {
		for _, one := range r.allRuns() {
			begun[one.id] = one
		}
	}
	broken, ranBefore := 0, 0
	for _, got := range answers {
		one, ran := begun[got.id]
		switch {
		case ran && got.sentAt.After(confirmedAt.Add(revokeTime)):
			broken++
			s.journal.event("request %s with the revoked key, sent %.2f s after the confirmation, ran for tenant %s (status %d)",
				got.id, got.sentAt.Sub(confirmedAt).Seconds(), one.tenant, got.status)
		case ran && got.sentAt.Before(confirmedAt):
			ranBefore++
		}
	}
	if ranBefore == 0 {
		return fmt.Errorf("no request with the key ran before it was taken away")
	}
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests", errBroken, broken)
	}
	return nil
}
