package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-answer"] = lateAnswer }

const (
	lateAnswerClients  = 12
	lateAnswerPatience = 3 * time.Second
	lateAnswerLength   = 40 * time.Second
	// lateAnswerChange is when the operator writes the second config, counted from the first request.
	lateAnswerChange = 5 * time.Second
	// shortWork and longWork are how long the two kinds of orders take. The second config has a timeout between them.
	shortWork = 100 * time.Millisecond
	longWork  = 1500 * time.Millisecond
	// maxLostAnswers is the number of channels that a machine may close without an answer.
	maxLostAnswers = 3
)

// orderConfig is a config with one unsafe route.
func orderConfig(version, timeoutMS int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "orders", "host": "shop.example", "path_prefix": "/orders/", "kind": "unsafe", "timeout_ms": timeoutMS,
			"target_latency_ms": 200, "priority": 1, "service": "app", "max_attempts": 1, "allow_anonymous": false,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 100}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}}},
	}
}

// sentOrder is an order of a client.
type sentOrder struct {
	id     string
	long   bool
	sentAt time.Time
	took   time.Duration
	got    answer
}

// lateAnswer lowers the timeout of a route. The replicas are sound: they stop each request at the X-Deadline-Ms that they got and answer 504.
func lateAnswer(env *environment) ([]string, error) {
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/orders/long") {
			return longWork
		}
		return shortWork
	}
	var replicas []*replica
	for i := range 3 {
		added := &replica{id: fmt.Sprintf("i-%d", i), service: "app", zone: "a", slots: 6, work: work}
		if err := added.start("127.0.0.1"); err != nil {
			return nil, err
		}
		replicas = append(replicas, added)
	}
	beat := keepRegistered(env.store, replicas)
	defer beat()
	env.store.putJSON("keyed.op", "config", orderConfig(1, 3000))
	edge, err := env.addRouter("edge-1", "127.0.0.1", "a", map[string]string{"a": "r"}, env.address)
	if err != nil {
		return nil, err
	}
	if err := edge.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	started := time.Now()
	changedAt := started.Add(lateAnswerChange)
	if env.trouble {
		time.AfterFunc(lateAnswerChange, func() {
			env.store.putJSON("keyed.op", "config", orderConfig(2, 1000))
			env.journal.line("the operator lowered the timeout from 3000 to 1000 ms")
		})
	}
	orders := sendOrders(env, edge.front, started.Add(lateAnswerLength))
	ran := runsByID(replicas)
	lost, late, unanswered := 0, 0, 0
	for _, order := range orders {
		env.journal.line("%s sent %.4f, long %t, ran %d times, after %v: %v", order.id, order.sentAt.Sub(env.journal.started).Seconds(), order.long,
			ran[order.id], order.took.Round(100*time.Microsecond), order.got)
		isLost := ran[order.id] > 0 && order.got.err != nil && order.took < lateAnswerPatience-50*time.Millisecond
		if isLost {
			lost++
		}
		if order.long && env.trouble && order.sentAt.After(changedAt.Add(2500*time.Millisecond)) {
			late++
			if isLost {
				unanswered++
			}
		}
	}
	summary := fmt.Sprintf("%d orders, %d ran, %d channels closed without an answer after the order had been passed on to a sound replica; "+
		"of %d orders that last longer than the timeout, %d have no final answer", len(orders), len(ran), lost, late, unanswered)
	env.journal.line("%s", summary)
	fmt.Println(summary)
	if lost > maxLostAnswers {
		return []string{fmt.Sprintf("LOST: %d channels, more than %d", lost, maxLostAnswers)}, nil
	}
	return nil, nil
}

// sendOrders lets clients send orders on kept channels, one in three of them long, and returns all.
func sendOrders(env *environment, front string, until time.Time) []sentOrder {
	var mu sync.Mutex
	var all []sentOrder
	var group sync.WaitGroup
	for client := range lateAnswerClients {
		group.Go(func() {
			var kept *channel
			for n := 0; time.Now().Before(until); n++ {
				if kept == nil {
					opened, err := openChannel(front)
					if err != nil {
						env.journal.line("client %d: %v", client, err)
						return
					}
					kept = opened
				}
				order := sentOrder{id: fmt.Sprintf("c%d-%d", client, n), long: (client+n)%3 == 0, sentAt: time.Now()}
				path := "/orders/short/" + order.id
				if order.long {
					path = "/orders/long/" + order.id
				}
				order.got = kept.do(encodeRequest("POST", path, "shop.example", [][2]string{
					{"X-Attempt-Id", order.id}, {"X-Deadline-Ms", fmt.Sprint(lateAnswerPatience.Milliseconds())}, {"X-Credential", "key-1"},
				}, []byte("order "+order.id)), lateAnswerPatience)
				order.took = time.Since(order.sentAt)
				mu.Lock()
				all = append(all, order)
				mu.Unlock()
				if order.got.err != nil || order.got.close {
					kept.close()
					kept = nil
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return all
}
