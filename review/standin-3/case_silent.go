package main

import (
	"fmt"
	"sync"
	"time"
)

// configApplyTime is the time in which a confirmed config must be in force.
const (
	configApplyTime = 2500 * time.Millisecond
	// stableWindow is the time after a disturbance from which a machine is in touch again.
	stableWindow = 4 * time.Second
)

// playSilent makes the open channels to the store go silent for good. New ones work. Then a route is moved to another service.
func playSilent(s *scene) error {
	var err error
	if s.proxy, err = startProxy(s.store.address()); err != nil {
		return err
	}
	tenants := map[string][]string{"hule930": {"key-of-hule930"}}
	s.store.put("keyed.op", "config", configurationWith(1, tenants, "taller-app"))
	for _, service := range []string{"taller-app", "taller-b"} {
		for _, zone := range []string{"cartago-a", "liberia-a", "limon-a"} {
			if _, err := s.addReplica(service, zone, 6, 30*time.Millisecond); err != nil {
				return err
			}
		}
	}
	if err := s.startRouters("cartago-a", "cartago-a", "cartago-a", "liberia-a", "liberia-a", "limon-a", "limon-a"); err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]answer)
	routerOf := make(map[string]*router)
	var clients sync.WaitGroup
	orderFor := func(until time.Time) {
		for time.Now().Before(until) {
			for _, r := range s.routers {
				clients.Go(func() {
					got := send(s.journal, r.front, request{method: "POST", path: "/ink/1", body: "order", deadline: 3 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					sent[got.id], routerOf[got.id] = got, r
				})
			}
			time.Sleep(60 * time.Millisecond)
		}
	}
	orderFor(time.Now().Add(4 * time.Second))
	if s.trouble {
		s.proxy.goSilent()
		s.journal.event("the open channels to the store go silent; new ones work")
	}
	silentAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	s.store.put("keyed.op", "config", configurationWith(2, tenants, "taller-b"))
	confirmedAt := time.Now()
	s.journal.event("the store confirms version 2 of the config, which moves the ink orders to taller-b")
	orderFor(silentAt.Add(7 * time.Second))
	clients.Wait()
	late, moved := make(map[*router]time.Duration), 0
	broken := 0
	for _, replica := range s.replicas {
		for _, one := range replica.allRuns() {
			got := sent[one.id]
			if replica.service == "taller-b" {
				moved++
				continue
			}
			if got.sentAt.After(silentAt.Add(stableWindow)) && got.sentAt.After(confirmedAt.Add(configApplyTime)) {
				broken++
				r := routerOf[one.id]
				late[r] = max(late[r], got.sentAt.Sub(confirmedAt))
				s.journal.line("request %s, sent %.2f s after the confirmation to %s, ran at %s of taller-app (status %d)",
					one.id, got.sentAt.Sub(confirmedAt).Seconds(), r.name, replica.id, got.status)
			}
		}
	}
	for r, after := range late {
		s.journal.event("%s still sends to the old service %.2f s after the confirmation, in touch again since %.2f s",
			r.name, after.Seconds(), after.Seconds()+confirmedAt.Sub(silentAt).Seconds()-stableWindow.Seconds())
	}
	if moved == 0 {
		return fmt.Errorf("no request ran at the new service")
	}
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests", errBroken, broken)
	}
	return nil
}
