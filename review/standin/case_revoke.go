package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["revoke"] = playRevoke }

const (
	revokeBound = 5 * time.Second
	// stormGap and stormSteps are those of the largest config_storm of the site, moreRouteCount the count of its big_config.
	stormGap       = 190 * time.Millisecond
	stormSteps     = 22
	moreRouteCount = 370
)

// playRevoke cuts a router off from the store. Meanwhile the operator changes the config many times, and last takes a key away. A client goes
// on to use the key. The cut heals 5.3 s after the confirmation of the last config.
func playRevoke(w *world) []string {
	storeAddress := fmt.Sprintf("%s1:%d", w.ip, storePort)
	proxyAddress := fmt.Sprintf("%s2:%d", w.ip, storePort)
	w.store.listen(storeAddress)
	link := newProxy(proxyAddress, storeAddress)
	routes := []map[string]any{routeOf("r-book", "/book/", "unsafe", "ledger", 2500, 1)}
	version := 7
	w.store.putJSON("keyed.op", "config", configOf(version, routes, []string{keyA}))
	replicas := []*replica{w.newReplica(100, "i-1", "ledger", "kochi-a", "v1", 60), w.newReplica(101, "i-2", "ledger", "kochi-a", "v1", 60)}
	for _, r := range replicas {
		r.start()
	}
	edge := w.newRouter(11, "kochi-a", proxyAddress)
	edge.start()
	edge.awaitReady()
	time.Sleep(time.Second)

	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		key := keyA
		if i == 3 {
			key = keyB
		}
		clients.Go(func() {
			c := &client{w: w, address: edge.front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Millisecond):
				}
				a := c.do(request{method: "POST", path: "/book/2f", key: key, deadline: 2500 * time.Millisecond, body: []byte("order")})
				if key == keyA {
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.logf("the router is cut off from the store")
		link.cut()
	}
	for range stormSteps {
		time.Sleep(stormGap)
		version += 3
		w.store.putJSON("keyed.op", "config", configOf(version, moreRoutes(routes, moreRouteCount, version), []string{keyA}))
	}
	time.Sleep(stormGap)
	version += 3
	confirmedAt := w.store.putJSON("keyed.op", "config", configOf(version, moreRoutes(routes, moreRouteCount, version), []string{"vq2k0s8ylm5c1b3m7d4z"}))
	w.logf("version %d, without the key, is confirmed", version)
	time.Sleep(time.Until(confirmedAt.Add(revokeBound + 300*time.Millisecond)))
	if w.trouble {
		w.logf("the cut heals")
		link.heal()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()

	ran := make(map[string]runRecord)
	for _, r := range replicas {
		for _, run := range r.allRuns() {
			ran[run.id] = run
		}
	}
	var breaches []string
	statuses := make(map[int]int)
	for _, a := range attempts {
		late := a.sentAt.Sub(confirmedAt)
		if late > 0 {
			statuses[a.status]++
		}
		if run, found := ran[a.id]; found && late > revokeBound {
			breaches = append(breaches, fmt.Sprintf("CONFIG: request %s, sent %.3f s after the confirmation of the config without its key, was run by %s at %.3f (answer %d)",
				a.id, late.Seconds(), run.replicaID, w.since(run.at), a.status))
		}
	}
	w.logf("answers to requests with the key that were sent after the confirmation, by status: %v", statuses)
	return breaches
}
