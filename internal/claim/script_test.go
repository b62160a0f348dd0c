package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// owner returns the node that runs the batcher of a key while all nodes are connected.
func (s *simulation) owner(key string) *node {
	routers := make([]membership.Router, 0, len(s.nodes))
	for _, n := range s.nodes {
		routers = append(routers, membership.Router{Name: n.name, State: membership.Up})
	}
	name := membership.NewView("", routers, nil).Owner(claim.BatcherRole(claim.KeyShard(uuid.MustParse(key))))
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })]
}

// isKeyLogged reports whether a record is in the stream of a key's shard.
func (s *simulation) isKeyLogged(key string) bool {
	return slices.ContainsFunc(s.log.streams[claim.StreamName(claim.KeyShard(uuid.MustParse(key)))], func(r external.Record) bool {
		records, _ := claim.DecodeBatch(r.Data)
		return len(records) > 0
	})
}

// advanceUntil advances the time until a condition is met, but at most by about a minute.
func (s *simulation) advanceUntil(condition func() bool) {
	for limit := s.now.Add(time.Minute); !condition() && s.now.Before(limit); {
		s.advance(tickInterval)
	}
}

// outcomes returns the sorted outcomes of the calls, separated by commas. A call without an answer has the outcome "none".
func (s *simulation) outcomes() string {
	outcomes := make([]string, 0, len(s.calls))
	for _, call := range s.calls {
		outcome := string(call.outcome)
		if !call.answered {
			outcome = "none"
		}
		outcomes = append(outcomes, outcome)
	}
	slices.Sort(outcomes)
	return strings.Join(outcomes, ",")
}

// runScript runs the commands of a script, separated by ", ", for one key.
func (s *simulation) runScript(script string) {
	key := s.key(0, 0)
	for _, command := range strings.Split(script, ", ") {
		s.runCommand(key, command)
	}
}

// runCommand runs one command: a verb, followed in any order by an optional node, duration and word. A node is a name, owner for
// the node that runs the batcher of the key, or other for the node after that one. The default node is the first one. The
// verbs are:
//
//   - call: a caller sends a request with the key to the node. The duration is its patience, the word its body.
//   - neighbour: as call, but with another key of the same shard.
//   - abandon: the caller of the last call gives up.
//   - pass: the duration passes.
//   - until: time passes until a claim is in the log (claimed) or the request has run (ran).
//   - sending: the duration is the time from the verdict to sending the request.
//   - append: the word is the appendMode of the log.
//   - reads: reads of the log work or fail.
//   - expire: the log removes the records that are older than the duration.
//   - part, join: a network partition separates the node from all others, or ends.
//   - pause, wake: the node pauses, or resumes.
//   - kill: the node restarts.
//   - lag: the node learns of changes of the view 200 ms late.
//   - demote: the batcher of the node gives up its shards.
//   - target: the target rejects requests (rejects) or runs them.
func (s *simulation) runCommand(key, command string) {
	fields := strings.Fields(command)
	n, word := s.nodes[0], "a"
	var duration time.Duration
	for _, field := range fields[1:] {
		index := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == field })
		parsed, err := time.ParseDuration(field)
		switch {
		case index >= 0:
			n = s.nodes[index]
		case field == "owner":
			n = s.owner(key)
		case field == "other":
			n = s.nodes[(slices.Index(s.nodes, s.owner(key))+1)%len(s.nodes)]
		case err == nil:
			duration = parsed
		default:
			word = field
		}
	}
	switch fields[0] {
	case "call":
		s.startCall(n, key, word, duration)
	case "neighbour":
		other := uuid.MustParse(s.key(1, 0))
		for claim.KeyShard(other) != claim.KeyShard(uuid.MustParse(key)) {
			other[15]++
		}
		s.startCall(n, other.String(), word, duration)
	case "abandon":
		if len(s.calls) > 0 {
			s.abandon(s.calls[len(s.calls)-1])
		}
	case "pass":
		s.advance(duration)
	case "until":
		s.advanceUntil(func() bool { return s.isKeyLogged(key) && (word == "claimed" || len(s.runsByKey[key]) > 0) })
	case "sending":
		s.sendDelay = duration
	case "append":
		s.log.mode = appendMode(word)
	case "reads":
		s.log.readsFail = word == "fail"
	case "expire":
		s.log.expire(s.now.Add(-duration))
	case "part":
		s.partition(n.name)
	case "join":
		s.partition()
	case "pause", "wake":
		n.paused = fields[0] == "pause"
	case "kill":
		s.restart(n)
	case "lag":
		s.laggingNode = n
	case "demote":
		n.batcher.UpdateView(s.now, membership.NewView("", nil, nil))
	case "target":
		s.targetRejects = word == "rejects"
	default:
		panic(fmt.Sprintf("unknown command %q", command))
	}
}
