package claim_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// tickInterval is the time between two ticks of a node and the resolution of scheduled events.
	tickInterval = 5 * time.Millisecond
	// networkLatency is the latency of messages between nodes and of the log.
	networkLatency = 10 * time.Millisecond
	// serviceTime is the time that the target needs for a request.
	serviceTime = 50 * time.Millisecond
)

var startTime = time.UnixMilli(1_800_000_000_000)

// variant configures the claimers and batchers of a simulation. It can disable one of their safety mechanisms.
type variant struct {
	limits claim.Limits
	// wrapBatcher replaces the handling of log results by a faulty one, if set.
	wrapBatcher func(*claim.Batcher) logHandler
	// sendBeforeReadBack sends requests without waiting for the verdict.
	// skipSendAuthorization sends requests although AuthorizeSend does not permit it.
	sendBeforeReadBack, skipSendAuthorization bool
}

// logHandler is the part of a Batcher that a variant can replace.
type logHandler interface {
	Page(now time.Time, stream string, page external.Page)
	Appended(now time.Time, id uint64, err error)
}

// keyedCall is one request of a caller with a key, and its result.
type keyedCall struct {
	node                  *node
	key, claimID, body    string
	startedAt, answeredAt time.Time
	deadline              time.Time
	outcome               claim.Outcome
	ran                   refusal.Execution
	answer                string
	answered              bool
}

// node is one router.
type node struct {
	name        string
	incarnation uint64
	claimer     *claim.Claimer
	batcher     *claim.Batcher
	logHandler  logHandler
	paused      bool
	viewTime    time.Time
	inbox       []func()
	calls       map[string]*keyedCall
}

// simulation simulates a fleet, a log and a target in virtual time.
type simulation struct {
	variant variant
	now     time.Time
	log     fakeLog
	nodes   []*node
	// partitionOf is the side of the network partition on which each node is.
	partitionOf map[string]int
	// eventsByTick holds the scheduled events by their time in multiples of tickInterval.
	eventsByTick map[int64][]func()
	calls        []*keyedCall
	// runsByKey holds the ids of the claims whose requests the target ran.
	runsByKey        map[string][]string
	firstRunAt       map[string]time.Time
	violationsAtSend []string
	// sendDelay is the time from a verdict until the request is sent.
	sendDelay time.Duration
	// targetRejects is set while the target rejects requests without running them.
	targetRejects bool
	// messageBytes is the total size of the messages between nodes.
	messageBytes int
	// laggingNode learns of changes of the view 200 ms late; nil if no node does.
	laggingNode *node
}

func newSimulation(v variant, names ...string) *simulation {
	sim := &simulation{
		variant: v, now: startTime, partitionOf: make(map[string]int), eventsByTick: make(map[int64][]func()),
		log:       fakeLog{mode: modeWorks, streams: make(map[string][]external.Record), firstOffsets: make(map[string]uint64)},
		runsByKey: make(map[string][]string), firstRunAt: make(map[string]time.Time),
	}
	for _, name := range names {
		sim.nodes = append(sim.nodes, &node{name: name})
	}
	for _, n := range sim.nodes {
		sim.restart(n)
	}
	return sim
}

// key returns a key with the given number and age.
func (s *simulation) key(number byte, age time.Duration) string {
	var key uuid.UUID
	milliseconds := s.now.Add(-age).UnixMilli()
	for i := range 6 {
		key[i] = byte(milliseconds >> (40 - 8*i))
	}
	key[6], key[8], key[15] = 0x70, 0x80, number
	return key.String()
}

// schedule runs an event after a time, but not before the next tick.
func (s *simulation) schedule(after time.Duration, event func()) {
	due := s.now.Add(max(after, tickInterval)).UnixMilli() / tickInterval.Milliseconds()
	s.eventsByTick[due] = append(s.eventsByTick[due], event)
}

// scheduleOn runs a function on a node after a time, unless the node is restarted before. A paused node runs it when it resumes.
func (s *simulation) scheduleOn(n *node, after time.Duration, do func()) {
	incarnation := n.incarnation
	s.schedule(after, func() {
		n.inbox = append(n.inbox, func() {
			if n.incarnation == incarnation {
				do()
			}
		})
	})
}

// restart replaces the claimer and batcher of a node and begins new sessions.
func (s *simulation) restart(n *node) {
	n.incarnation++
	n.claimer = claim.NewClaimer(n.name, n.incarnation, s.variant.limits)
	n.batcher = claim.NewBatcher(s.variant.limits)
	n.logHandler, n.inbox, n.calls, n.paused = n.batcher, nil, make(map[string]*keyedCall), false
	if s.variant.wrapBatcher != nil {
		n.logHandler = s.variant.wrapBatcher(n.batcher)
	}
	s.reconnect()
}

// partition separates the named nodes from all others. Without names it ends the partition.
func (s *simulation) partition(names ...string) {
	s.partitionOf = make(map[string]int)
	for _, name := range names {
		s.partitionOf[name] = 1
	}
	s.reconnect()
}

// reconnect begins new sessions between all nodes that can reach each other, and updates their views at the same time.
func (s *simulation) reconnect() {
	for _, n := range s.nodes {
		var routers []membership.Router
		for _, peer := range s.nodes {
			state := membership.Up
			if s.partitionOf[peer.name] != s.partitionOf[n.name] {
				state = membership.Down
			}
			routers = append(routers, membership.Router{Name: peer.name, State: state})
			if n.claimer == nil || peer == n {
				continue
			}
			n.claimer.Disconnected(s.now, peer.name)
			if state == membership.Up {
				n.claimer.Connected(s.now, peer.name, peer.incarnation)
			}
		}
		if n.claimer != nil {
			view, at := membership.NewView(n.name, routers, nil), s.now
			if n == s.laggingNode {
				s.scheduleOn(n, 200*time.Millisecond, func() { n.updateView(at, view) })
			} else {
				n.updateView(at, view)
			}
		}
	}
}

// updateView updates the view of a node unless it has a newer one.
func (n *node) updateView(at time.Time, view membership.View) {
	if !at.Before(n.viewTime) {
		n.viewTime = at
		n.claimer.UpdateView(at, view)
		n.batcher.UpdateView(at, view)
	}
}

// send delivers messages after networkLatency, unless one of the nodes was restarted or they are partitioned by then.
func (s *simulation) send(from *node, envelopes []message.Envelope) {
	for _, envelope := range envelopes {
		s.messageBytes += proto.Size(envelope.Body)
		to := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == envelope.To })]
		incarnation := from.incarnation
		s.scheduleOn(to, networkLatency, func() {
			if from.incarnation == incarnation && s.partitionOf[from.name] == s.partitionOf[to.name] {
				to.batcher.Receive(s.now, from.name, envelope.Body)
				to.claimer.Receive(s.now, from.name, envelope.Body)
			}
		})
	}
}

// startCall begins a call with a key to a node. The caller gives up after its patience.
func (s *simulation) startCall(n *node, key, body string, patience time.Duration) {
	call := &keyedCall{node: n, key: key, body: body, startedAt: s.now, deadline: s.now.Add(patience)}
	s.calls = append(s.calls, call)
	request := claim.Request{Key: key, Customer: 1, BodyHash: []byte(body), Deadline: call.deadline}
	call.claimID = n.claimer.Claim(s.now, request)
	n.calls[call.claimID] = call
	if s.variant.sendBeforeReadBack {
		s.sendToTarget(n, call)
	}
}

// abandon gives up a call on behalf of its caller.
func (s *simulation) abandon(call *keyedCall) {
	if !call.answered {
		s.answerCall(call, claim.OutcomeUnknown, call.node.claimer.Abandon(s.now, call.claimID), "")
	}
}

// sendToTarget sends the request of a call to the target if the claimer authorizes it, and gives the call up otherwise.
func (s *simulation) sendToTarget(n *node, call *keyedCall) {
	if !s.variant.sendBeforeReadBack && !n.claimer.AuthorizeSend(s.now, call.claimID) && !s.variant.skipSendAuthorization {
		s.abandon(call)
		return
	}
	if s.targetRejects {
		n.claimer.MarkNotRun(s.now, call.claimID)
		s.abandon(call)
		return
	}
	age := s.now.UnixMilli() - claim.KeyUnixMilli(uuid.MustParse(call.key))
	if s.now.After(call.deadline) || age > testLimits().Window.Milliseconds() {
		s.violationsAtSend = append(s.violationsAtSend, "sent after the deadline: "+call.claimID)
	}
	s.runsByKey[call.key] = append(s.runsByKey[call.key], call.claimID)
	if len(s.runsByKey[call.key]) == 1 {
		s.firstRunAt[call.key] = s.now
	}
	s.scheduleOn(n, call.deadline.Sub(s.now), func() { s.abandon(call) })
	s.scheduleOn(n, serviceTime, func() {
		n.claimer.Complete(s.now, call.claimID, 200, []byte(call.claimID))
		s.answerCall(call, claim.OutcomeHeld, "", call.claimID)
	})
}

// answerCall records the answer to a call. Later answers are ignored.
func (s *simulation) answerCall(call *keyedCall, outcome claim.Outcome, ran refusal.Execution, answer string) {
	if call.answered {
		return
	}
	call.answered, call.answeredAt, call.outcome, call.ran, call.answer = true, s.now, outcome, ran, answer
}

// tick runs one tick of a node: it delivers messages, reads the log, and carries out what batcher and claimer return.
func (s *simulation) tick(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
	for _, position := range n.batcher.Positions() {
		if s.log.readsFail {
			n.batcher.ReadFailed(s.now, position.Stream)
		} else {
			n.logHandler.Page(s.now, position.Stream, s.log.read(position.Stream, position.Offset))
		}
	}
	effects := n.batcher.Tick(s.now)
	s.send(n, effects.Envelopes)
	for _, request := range effects.Appends {
		after, result := s.log.append(s, request.Stream, request.Data)
		s.scheduleOn(n, after, func() { n.logHandler.Appended(s.now, request.ID, result) })
	}
	envelopes, verdicts := n.claimer.Tick(s.now)
	s.send(n, envelopes)
	for _, verdict := range verdicts {
		call := n.calls[verdict.ClaimID]
		if verdict.Outcome != claim.OutcomeHeld {
			s.answerCall(call, verdict.Outcome, verdict.Ran, string(verdict.Answer))
		} else if !s.variant.sendBeforeReadBack {
			s.scheduleOn(n, s.sendDelay, func() { s.sendToTarget(n, call) })
		}
	}
}

// advance advances the time by a duration and runs the events and ticks that are due.
func (s *simulation) advance(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		due := s.now.UnixMilli() / tickInterval.Milliseconds()
		for _, event := range s.eventsByTick[due] {
			event()
		}
		delete(s.eventsByTick, due)
		for _, n := range s.nodes {
			if !n.paused {
				s.tick(n)
			}
		}
	}
}

// violations returns a description of each violation of the guarantees to callers.
func (s *simulation) violations() []string {
	violations := slices.Clone(s.violationsAtSend)
	for key, runs := range s.runsByKey {
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, len(runs)))
		}
		if !s.linearizable(key) {
			violations = append(violations, "history is not linearizable: "+key)
		}
	}
	for _, call := range s.calls {
		runs, firstRun := s.runsByKey[call.key], s.firstRunAt[call.key]
		switch {
		case call.ran == refusal.NotExecuted && (slices.Contains(runs, call.claimID) || len(runs) > 0 && firstRun.Before(call.answeredAt)):
			violations = append(violations, "refused as not run, but ran: "+call.claimID)
		case call.outcome == claim.OutcomeReplay && !slices.Contains(runs, call.answer):
			violations = append(violations, "replayed an answer that was not given: "+call.claimID)
		case call.outcome == claim.OutcomeUnavailable && s.isClaimLogged(call.claimID):
			violations = append(violations, "refused as unavailable, but claimed: "+call.claimID)
		}
	}
	slices.Sort(violations)
	return violations
}

// isClaimLogged reports whether the log contains the claim record with an id.
func (s *simulation) isClaimLogged(id string) bool {
	for _, records := range s.log.streams {
		for _, record := range records {
			claimRecords, _ := claim.DecodeBatch(record.Data)
			if slices.ContainsFunc(claimRecords, func(r claim.Record) bool { return r.Kind == claim.KindClaim && r.ClaimID == id }) {
				return true
			}
		}
	}
	return false
}
