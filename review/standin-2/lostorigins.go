package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["lost-origins"] = func(env *environment) ([]string, error) { return lostOrigins(env, false) }
	cases["release-unseen"] = func(env *environment) ([]string, error) { return lostOrigins(env, true) }
}

const (
	lostOriginsEvents = 40
	lostOriginsPause  = 150 * time.Millisecond
	// lostOriginsRate is the number of new streams per second at all routers.
	lostOriginsRate = 150
	// slowAnswer is how much later the store answers while it is slow: 60 times 4 ms. It is slow from slowBefore before the kill until slowAfter
	// after it.
	slowAnswer = 236 * time.Millisecond
	slowBefore = 4 * time.Second
	slowAfter  = 500 * time.Millisecond
	// lostOriginsDown is how long all routers are away.
	lostOriginsDown = time.Second
	// stableWindow is stable_window_ms.
	stableWindow = 4 * time.Second
	// minTakenUp is the number of streams taken up from which the rule counts.
	minTakenUp = 12
)

// lostOrigins kills all routers at the same moment. Clients take their streams up. With isRelease, all replicas have one version, and the first
// replica of another version starts while the routers are away; otherwise replicas of two versions serve all the time, and the store is slow
// around the kill.
func lostOrigins(env *environment, isRelease bool) ([]string, error) {
	var replicas []*streamReplica
	for i := range 8 {
		version := fmt.Sprintf("v%d", 1+i%2)
		if isRelease {
			version = "v1"
		}
		added := &streamReplica{id: fmt.Sprintf("i-%d", i), service: "model", zone: "a", slots: 128, events: lostOriginsEvents, pause: lostOriginsPause}
		if err := added.start("127.0.0.1", version); err != nil {
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
	awaitAll := func() error {
		for _, each := range env.routers {
			if err := each.awaitReady(10 * time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	if err := awaitAll(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var streams []*clientStream
	var group sync.WaitGroup
	n := 0
	how := patience{deadline: 12 * time.Second, tries: 4, backoff: 2 * time.Second}
	begin := func(until time.Time, rate int) {
		start, count := time.Now(), 0
		for time.Now().Before(until) {
			id, order := fmt.Sprintf("s%d", n), []string{fronts[n%2], fronts[(n+1)%2]}
			n++
			group.Go(func() {
				got := readStreamPatiently(id, order, lostOriginsEvents, how)
				mu.Lock()
				streams = append(streams, got)
				mu.Unlock()
			})
			count++
			time.Sleep(time.Until(start.Add(time.Duration(count) * time.Second / time.Duration(rate))))
		}
	}
	begin(time.Now().Add(time.Second), 20)
	if env.trouble && !isRelease {
		env.store.setDelay(slowAnswer)
		env.journal.line("the store is slow")
	}
	begin(time.Now().Add(slowBefore), lostOriginsRate)
	var stableAt time.Time
	if env.trouble {
		for _, each := range env.routers {
			each.signal(9)
		}
		env.journal.line("all routers were killed")
		for _, each := range env.routers {
			each.kill()
		}
		time.Sleep(slowAfter)
		if isRelease {
			next := &streamReplica{id: "i-8", service: "model", zone: "a", slots: 128, events: lostOriginsEvents, pause: lostOriginsPause}
			if err := next.start("127.0.0.1", "v2"); err != nil {
				return nil, err
			}
			replicas = append(replicas, next)
			defer keepStreamsRegistered(env.store, replicas[len(replicas)-1:])()
			env.journal.line("the release begins: a replica of version v2 has started")
		} else {
			env.store.setDelay(0)
			env.journal.line("the store is no longer slow")
		}
		time.Sleep(lostOriginsDown - slowAfter)
		for _, each := range env.routers {
			if err := each.start(); err != nil {
				return nil, err
			}
		}
		stableAt = time.Now().Add(stableWindow)
		env.journal.line("all routers were started again")
		if err := awaitAll(); err != nil {
			return nil, err
		}
	} else {
		stableAt = time.Now().Add(lostOriginsDown + stableWindow)
	}
	time.Sleep(time.Until(stableAt))
	begin(stableAt.Add(2500*time.Millisecond), 20)
	group.Wait()
	takenUp, wentOn, began, asked := 0, 0, 0, 0
	for _, s := range streams {
		for i, each := range s.all {
			env.journal.line("%s try %d at %s, sent %.4f, takes up %t, went on %t: %s; events of %v", s.id, i, each.front,
				each.sentAt.Sub(env.journal.started).Seconds(), each.takesUp, each.wentOn, each.outcome, s.versions)
			switch {
			case each.sentAt.Before(stableAt):
			case each.takesUp:
				takenUp++
				wentOn += count(each.wentOn)
			default:
				asked++
				began += count(each.wentOn)
			}
		}
	}
	summary := fmt.Sprintf("%d streams; at machines in touch after the kill %d streams were taken up, %d went on; of %d new ones %d began",
		len(streams), takenUp, wentOn, asked, began)
	env.journal.line("%s", summary)
	fmt.Println(summary)
	if takenUp >= minTakenUp && float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(max(asked, 1)) {
		return []string{"LOST: " + summary}, nil
	}
	return nil, nil
}

// count returns 1 for true.
func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
