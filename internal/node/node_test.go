package node_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	step      = 10 * time.Millisecond
	customers = 12
	// claims is what the names of the log streams of claims begin with.
	claims = "claims-"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// newNode returns the node r0 of a fleet of so many routers, with four engines and a configuration, after its first tick.
func newNode(routers int) *node.Node {
	n := newStart(routers)
	n.Tick(start)
	for _, position := range n.Positions() {
		if strings.HasPrefix(position.Stream, claims) { // Known since the first tick.
			records := []outside.Record{{AppendedAt: start, Data: claim.EncodeBatch(nil)}}
			n.Page(start, position.Stream, outside.Page{Records: records, EndOffset: 1})
		}
	}
	return n
}

// newStart returns the same node before its first tick.
func newStart(routers int) *node.Node {
	list := outside.HostList{Version: 1}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		list.Hosts = append(list.Hosts, outside.Host{
			Name: name, Role: outside.RoleEngine, Region: "g", Zone: "z", Address: name, Model: "writer", Slots: 4,
		})
	}
	for i := range routers {
		host := outside.Host{Name: fmt.Sprint("r", i), Role: outside.RoleRouter, Region: "g", Zone: "z"}
		list.Hosts = append(list.Hosts, host)
	}
	change := config.Change{ID: "first", PutTemplates: []config.Template{{
		Name: "all", Weight: 1, Limits: config.Limits{Waiting: 100, Connections: 100},
		Classes: map[string]config.Class{"quick": {PatienceMs: 100}},
	}}}
	for i := range customers {
		change.PutCustomers = append(change.PutCustomers, config.Customer{Name: fmt.Sprint("c", i), Template: "all", Weight: 1})
	}
	n := node.New(membership.Router{Name: "r0", Region: "g", Zone: "z"}, 1, node.WithSeed(1))
	n.SetHostList(start, list)
	for _, position := range n.Positions() {
		page := outside.Page{}
		if position.Stream == config.Stream {
			page.Records, page.EndOffset = []outside.Record{{AppendedAt: start, Data: config.Record{Change: &change}.Encode()}}, 1
		}
		n.Page(start, position.Stream, page)
	}
	return n
}

// submit adds a request of a customer.
func submit(c *qt.C, n *node.Node, now time.Time, customer int) uint64 {
	c.Helper()
	parameters, found := n.Store().State().Customer(fmt.Sprint("c", customer))
	c.Assert(found, qt.IsTrue)
	id, refused := n.Queue().Submit(now, entry.Request{
		Customer: parameters.Number, Model: "writer", Class: "quick", PromptTokens: 10, MaxTokens: 20,
	})
	c.Assert(refused == nil, qt.IsTrue, qt.Commentf("%v", refused))
	return id
}

// begin lets the cores begin a claim, a change and a record of a crash, each of which asks for an append.
func begin(n *node.Node, now time.Time) {
	var key uuid.UUID
	ms := now.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	key[6], key[8] = 0x70, 0x80
	n.Claimer().Claim(now, claim.Request{Key: key.String(), BodyHash: []byte("b"), Deadline: now.Add(time.Minute)})
	n.Store().Publish(now, config.Change{ID: "next", Base: 1, PutCustomers: []config.Customer{{
		Name: "late", Template: "all", Weight: 1,
	}}})
	n.Suspects().RecordCrash(now, "e0", "crash", []uint64{1, 2, 3})
}

// encode returns all that a tick asked for as text, with encoded packets.
func encode(c *qt.C, output node.Output) string {
	c.Helper()
	text := fmt.Sprint(output.Appends, output.Decisions, output.ClaimVerdicts, output.PublishResults)
	for _, packet := range output.Packets {
		text += packet.To
		for _, body := range packet.Bodies {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
			c.Assert(err, qt.IsNil)
			text += fmt.Sprintf(" %x", data)
		}
	}
	return text
}

// TestConfiguredAtOnce guards against a customer that is known by its key and refused because the queue learns of it only
// with the next tick.
func TestConfiguredAtOnce(t *testing.T) {
	submit(qt.New(t), newStart(3), start, 1)
}

// TestSameInputs guards against decisions that depend on the order of a map or on a source of randomness without a
// seed: a run could not be repeated.
func TestSameInputs(t *testing.T) {
	c := qt.New(t)
	nodes := []*node.Node{newNode(20), newNode(20)} // Too many for a full mesh, so links depend on random probes.
	packets := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * step)
		outputs := make([]string, 0, len(nodes))
		for _, n := range nodes {
			switch {
			case i < 10:
				n.Connected(now, fmt.Sprint("r", i+1), 7)
			case i == 20:
				begin(n, now)
			case i == 200:
				n.Disconnected(now, "r2", false)
			}
			for k := range 3 {
				submit(c, n, now, (i+5*k)%customers)
			}
			n.ObserveLoad(now, fmt.Sprint("e", i%4), outside.LoadReport{MeasuredAt: now, Slots: 4, Incarnation: "1"})
			output := n.Tick(now)
			packets += len(output.Packets)
			outputs = append(outputs, encode(c, output)+fmt.Sprint(n.WantedPeers(now)))
		}
		c.Assert(outputs[1], qt.Equals, outputs[0], qt.Commentf("step %d", i))
	}
	c.Assert(packets > 100, qt.IsTrue, qt.Commentf("%d packets", packets))
}

// TestOwnScheduler guards against a request that waits for the next tick although its router schedules the pool.
func TestOwnScheduler(t *testing.T) {
	c := qt.New(t)
	n := newNode(1)
	now := start.Add(step)
	for i := range 4 {
		n.ObserveLoad(now, fmt.Sprint("e", i), outside.LoadReport{MeasuredAt: now, Slots: 4, Incarnation: "1"})
	}
	n.Tick(now)
	now = now.Add(step)
	id := submit(c, n, now, 0)
	output := n.Tick(now)
	c.Assert(output.Decisions, qt.HasLen, 1)
	c.Assert(output.Decisions[0].RequestID, qt.Equals, id)
	c.Assert(output.Decisions[0].Target, qt.Not(qt.Equals), "")
	c.Assert(output.Packets, qt.HasLen, 0)
}

// TestReleased guards against a peer that counts as down since its session was not needed any more, and against one
// that stays up although its session broke.
func TestReleased(t *testing.T) {
	for released, want := range map[bool]membership.State{true: membership.Up, false: membership.Down} {
		c := qt.New(t)
		n := newNode(2)
		n.Connected(start, "r1", 7)
		n.Disconnected(start.Add(step), "r1", released)
		n.Tick(start.Add(3 * time.Second))
		peer, found := n.View().Router("r1")
		c.Assert(found, qt.IsTrue)
		c.Assert(peer.State, qt.Equals, want, qt.Commentf("released: %v", released))
	}
}

// TestAppends guards against the result of an append that reaches another core than the one that asked for it. Only the
// core whose append failed may act: the store and the batcher refuse, the table of suspects appends again.
func TestAppends(t *testing.T) {
	for _, failed := range []string{config.Stream, suspect.Stream, claims} {
		c := qt.New(t)
		n := newNode(1)
		now := start.Add(step)
		begin(n, now)
		appends := n.Tick(now).Appends
		c.Assert(appends, qt.HasLen, 3)
		ids := make(map[uint64]bool)
		now = now.Add(step)
		for _, wanted := range appends {
			ids[wanted.ID] = true
			if strings.HasPrefix(wanted.Stream, failed) {
				n.Appended(now, wanted.ID, errors.New("refused"))
			}
		}
		c.Assert(ids, qt.HasLen, 3, qt.Commentf("numbers of appends repeat"))
		first := n.Tick(now)
		second := n.Tick(now.Add(suspect.DefaultLimits().RetryInterval))
		repeated := false
		for _, wanted := range second.Appends {
			repeated = repeated || wanted.Stream == suspect.Stream
		}
		c.Assert(len(first.PublishResults) == 1, qt.Equals, failed == config.Stream, qt.Commentf("results %v", first.PublishResults))
		c.Assert(len(first.ClaimVerdicts) == 1, qt.Equals, failed == claims, qt.Commentf("verdicts %v", first.ClaimVerdicts))
		c.Assert(repeated, qt.Equals, failed == suspect.Stream, qt.Commentf("after failure of %s", failed))
	}
}
