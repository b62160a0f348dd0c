package claim_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	step    = 5 * time.Millisecond
	latency = 10 * time.Millisecond
	// service is how long the target runs a request.
	service = 50 * time.Millisecond
)

var start = time.UnixMilli(1_800_000_000_000)

// variant switches off one mechanism of the cores.
type variant struct {
	limits  claim.Limits
	batcher func(*claim.Batcher) batcher
	// eager sends before the claim was read back; late sends without a last check.
	eager, late bool
}

// batcher is what a variant replaces.
type batcher interface {
	Page(now time.Time, stream string, page outside.Page)
	Appended(now time.Time, id uint64, err error)
}

// call is one request of a caller and what became of it.
type call struct {
	by               *node
	key, claim, body string
	from, until      time.Time
	deadline         time.Time
	outcome          claim.Outcome
	ran              refusal.Ran
	answer           string
	answered         bool
}

// node is one router.
type node struct {
	name        string
	incarnation uint64
	holder      *claim.Claimer
	batcher     *claim.Batcher
	results     batcher
	paused      bool
	viewed      time.Time
	inbox       []func()
	calls       map[string]*call
}

// world is a fleet in virtual time.
type world struct {
	variant variant
	now     time.Time
	log     fakeLog
	nodes   []*node
	// group is the side of the partition on which a node is.
	group  map[string]int
	events map[int64][]func()
	calls  []*call
	runs   map[string][]string
	ran    map[string]time.Time
	wrong  []string
	// sending is the time from a verdict to the sending of the request.
	sending time.Duration
	// rejects is set while the target refuses requests without running them.
	rejects bool
	// bytes counts the messages.
	bytes int
	// lagging is a node that learns of changes of the view late.
	lagging *node
}

func newWorld(v variant, names ...string) *world {
	w := &world{
		variant: v, now: start, group: make(map[string]int), events: make(map[int64][]func()),
		log:  fakeLog{mode: works, streams: make(map[string][]outside.Record), first: make(map[string]uint64)},
		runs: make(map[string][]string), ran: make(map[string]time.Time),
	}
	for _, name := range names {
		w.nodes = append(w.nodes, &node{name: name})
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	return w
}

// key returns a key that was made some time ago.
func (w *world) key(number byte, age time.Duration) string {
	var key uuid.UUID
	milliseconds := w.now.Add(-age).UnixMilli()
	for i := range 6 {
		key[i] = byte(milliseconds >> (40 - 8*i))
	}
	key[6], key[8], key[15] = 0x70, 0x80, number
	return key.String()
}

func (w *world) at(after time.Duration, event func()) {
	due := w.now.Add(max(after, step)).UnixMilli() / step.Milliseconds()
	w.events[due] = append(w.events[due], event)
}

// later lets a node do something unless it is restarted before.
func (w *world) later(n *node, after time.Duration, do func()) {
	incarnation := n.incarnation
	w.at(after, func() {
		n.inbox = append(n.inbox, func() {
			if n.incarnation == incarnation {
				do()
			}
		})
	})
}

// restart replaces the cores of a node and begins new sessions.
func (w *world) restart(n *node) {
	n.incarnation++
	n.holder = claim.NewClaimer(n.name, n.incarnation, w.variant.limits)
	n.batcher = claim.NewBatcher(w.variant.limits)
	n.results, n.inbox, n.calls, n.paused = n.batcher, nil, make(map[string]*call), false
	if w.variant.batcher != nil {
		n.results = w.variant.batcher(n.batcher)
	}
	w.connect()
}

// partition puts nodes on the other side.
func (w *world) partition(names ...string) {
	w.group = make(map[string]int)
	for _, name := range names {
		w.group[name] = 1
	}
	w.connect()
}

// connect begins a new session between all nodes that reach each other, and changes their views at the same time.
func (w *world) connect() {
	for _, n := range w.nodes {
		var routers []membership.Router
		for _, peer := range w.nodes {
			state := membership.Up
			if w.group[peer.name] != w.group[n.name] {
				state = membership.Down
			}
			routers = append(routers, membership.Router{Name: peer.name, State: state})
			if n.holder == nil || peer == n {
				continue
			}
			n.holder.Disconnected(w.now, peer.name)
			if state == membership.Up {
				n.holder.Connected(w.now, peer.name, peer.incarnation)
			}
		}
		if n.holder != nil {
			view, at := membership.NewView(n.name, routers, nil), w.now
			if n == w.lagging {
				w.later(n, 200*time.Millisecond, func() { n.locate(at, view) })
			} else {
				n.locate(at, view)
			}
		}
	}
}

// locate takes a view unless a newer one was taken.
func (n *node) locate(at time.Time, view membership.View) {
	if !at.Before(n.viewed) {
		n.viewed = at
		n.holder.UpdateView(at, view)
		n.batcher.UpdateView(at, view)
	}
}

// send delivers messages later if both ends still are what they were.
func (w *world) send(from *node, envelopes []message.Envelope) {
	for _, envelope := range envelopes {
		w.bytes += proto.Size(envelope.Body)
		to := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == envelope.To })]
		incarnation := from.incarnation
		w.later(to, latency, func() {
			if from.incarnation == incarnation && w.group[from.name] == w.group[to.name] {
				to.batcher.Receive(w.now, from.name, envelope.Body)
				to.holder.Receive(w.now, from.name, envelope.Body)
			}
		})
	}
}

// call lets a caller send a request to a node.
func (w *world) call(n *node, key, body string, patience time.Duration) {
	made := &call{by: n, key: key, body: body, from: w.now, deadline: w.now.Add(patience)}
	w.calls = append(w.calls, made)
	request := claim.Request{Key: key, Customer: 1, BodyHash: []byte(body), Deadline: made.deadline}
	made.claim = n.holder.Claim(w.now, request)
	n.calls[made.claim] = made
	if w.variant.eager {
		w.run(n, made)
	}
}

// abandon gives a call up on behalf of its caller.
func (w *world) abandon(made *call) {
	if !made.answered {
		w.answer(made, claim.OutcomeUnknown, made.by.holder.Abandon(w.now, made.claim), "")
	}
}

// run sends a request to the target.
func (w *world) run(n *node, made *call) {
	if !w.variant.eager && !n.holder.AuthorizeSend(w.now, made.claim) && !w.variant.late {
		w.abandon(made)
		return
	}
	if w.rejects {
		n.holder.MarkNotRun(w.now, made.claim)
		w.abandon(made)
		return
	}
	age := w.now.UnixMilli() - claim.KeyTime(uuid.MustParse(made.key))
	if w.now.After(made.deadline) || age > limits().Window.Milliseconds() {
		w.wrong = append(w.wrong, "sent after the deadline: "+made.claim)
	}
	w.runs[made.key] = append(w.runs[made.key], made.claim)
	if len(w.runs[made.key]) == 1 {
		w.ran[made.key] = w.now
	}
	w.later(n, made.deadline.Sub(w.now), func() { w.abandon(made) })
	w.later(n, service, func() {
		n.holder.Complete(w.now, made.claim, 200, []byte(made.claim))
		w.answer(made, claim.OutcomeHeld, "", made.claim)
	})
}

// answer ends a call for its caller.
func (w *world) answer(made *call, outcome claim.Outcome, ran refusal.Ran, answer string) {
	if made.answered {
		return
	}
	made.answered, made.until, made.outcome, made.ran, made.answer = true, w.now, outcome, ran, answer
}

// tick drives one node.
func (w *world) tick(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
	for _, position := range n.batcher.Positions() {
		if w.log.unread {
			n.batcher.ReadFailed(w.now, position.Stream)
		} else {
			n.results.Page(w.now, position.Stream, w.log.read(position.Stream, position.From))
		}
	}
	effects := n.batcher.Tick(w.now)
	w.send(n, effects.Envelopes)
	for _, each := range effects.Appends {
		after, result := w.log.append(w, each.Stream, each.Data)
		w.later(n, after, func() { n.results.Appended(w.now, each.ID, result) })
	}
	envelopes, verdicts := n.holder.Tick(w.now)
	w.send(n, envelopes)
	for _, verdict := range verdicts {
		made := n.calls[verdict.ClaimID]
		if verdict.Outcome != claim.OutcomeHeld {
			w.answer(made, verdict.Outcome, verdict.Ran, string(verdict.Answer))
		} else if !w.variant.eager {
			w.later(n, w.sending, func() { w.run(n, made) })
		}
	}
}

// pass lets time go by.
func (w *world) pass(duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); {
		w.now = w.now.Add(step)
		due := w.now.UnixMilli() / step.Milliseconds()
		for _, event := range w.events[due] {
			event()
		}
		delete(w.events, due)
		for _, n := range w.nodes {
			if !n.paused {
				w.tick(n)
			}
		}
	}
}

// violations returns everything that contradicts the promises to callers.
func (w *world) violations() []string {
	wrong := slices.Clone(w.wrong)
	for key, runs := range w.runs {
		if len(runs) > 1 {
			wrong = append(wrong, fmt.Sprintf("key %s ran %d times", key, len(runs)))
		}
		if !w.linearizable(key) {
			wrong = append(wrong, "history is not linearizable: "+key)
		}
	}
	for _, made := range w.calls {
		runs, ran := w.runs[made.key], w.ran[made.key]
		switch {
		case made.ran == refusal.RanNo && (slices.Contains(runs, made.claim) || len(runs) > 0 && ran.Before(made.until)):
			wrong = append(wrong, "refused as not run, but ran: "+made.claim)
		case made.outcome == claim.OutcomeReplay && !slices.Contains(runs, made.answer):
			wrong = append(wrong, "replayed an answer that was not given: "+made.claim)
		case made.outcome == claim.Unavailable && w.logged(made.claim):
			wrong = append(wrong, "refused as unavailable, but claimed: "+made.claim)
		}
	}
	slices.Sort(wrong)
	return wrong
}

// logged tells whether the log has a claim.
func (w *world) logged(id string) bool {
	for _, records := range w.log.streams {
		for _, record := range records {
			folded, _ := claim.Decode(record.Data)
			if slices.ContainsFunc(folded, func(r claim.Record) bool { return r.Kind == claim.Claimed && r.Claim == id }) {
				return true
			}
		}
	}
	return false
}
