package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// owner returns the node that batches a key while all nodes are connected.
func (w *world) owner(key string) *node {
	routers := make([]membership.Router, 0, len(w.nodes))
	for _, n := range w.nodes {
		routers = append(routers, membership.Router{Name: n.name, State: membership.Up})
	}
	name := membership.NewView("", routers, nil).Owner(claim.BatcherRole(claim.Shard(uuid.MustParse(key))))
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

// claimed tells whether a claim of a key is in the log.
func (w *world) claimed(key string) bool {
	return slices.ContainsFunc(w.log.streams[claim.StreamName(claim.Shard(uuid.MustParse(key)))], func(r outside.Record) bool {
		records, _ := claim.Decode(r.Data)
		return len(records) > 0
	})
}

// until lets time go by until something has happened.
func (w *world) until(happened func() bool) {
	for limit := w.now.Add(time.Minute); !happened() && w.now.Before(limit); {
		w.pass(step)
	}
}

// outcomes returns the sorted outcomes of the calls.
func (w *world) outcomes() string {
	outcomes := make([]string, 0, len(w.calls))
	for _, made := range w.calls {
		outcome := string(made.outcome)
		if !made.answered {
			outcome = "none"
		}
		outcomes = append(outcomes, outcome)
	}
	slices.Sort(outcomes)
	return strings.Join(outcomes, ",")
}

// play runs a script for one key.
func (w *world) play(script string) {
	key := w.key(0, 0)
	for _, command := range strings.Split(script, ", ") {
		w.do(key, command)
	}
}

// do runs one command: a verb, then in any order a node, a duration and a word.
func (w *world) do(key, command string) {
	fields := strings.Fields(command)
	n, word := w.nodes[0], "a"
	var duration time.Duration
	for _, field := range fields[1:] {
		place := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == field })
		parsed, err := time.ParseDuration(field)
		switch {
		case place >= 0:
			n = w.nodes[place]
		case field == "owner":
			n = w.owner(key)
		case field == "other":
			n = w.nodes[(slices.Index(w.nodes, w.owner(key))+1)%len(w.nodes)]
		case err == nil:
			duration = parsed
		default:
			word = field
		}
	}
	switch fields[0] {
	case "call":
		w.call(n, key, word, duration)
	case "neighbour":
		other := uuid.MustParse(w.key(1, 0))
		for claim.Shard(other) != claim.Shard(uuid.MustParse(key)) {
			other[15]++
		}
		w.call(n, other.String(), word, duration)
	case "abandon":
		if len(w.calls) > 0 {
			w.abandon(w.calls[len(w.calls)-1])
		}
	case "pass":
		w.pass(duration)
	case "until":
		w.until(func() bool { return w.claimed(key) && (word == "claimed" || len(w.runs[key]) > 0) })
	case "sending":
		w.sending = duration
	case "append":
		w.log.mode = mode(word)
	case "reads":
		w.log.unread = word == "fail"
	case "expire":
		w.log.expire(w.now.Add(-duration))
	case "part":
		w.partition(n.name)
	case "join":
		w.partition()
	case "pause", "wake":
		n.paused = fields[0] == "pause"
	case "kill":
		w.restart(n)
	case "lag":
		w.lagging = n
	case "demote":
		n.batcher.UpdateView(w.now, membership.NewView("", nil, nil))
	case "target":
		w.rejects = word == "rejects"
	default:
		panic(fmt.Sprintf("unknown command %q", command))
	}
}
