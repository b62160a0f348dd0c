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
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	tickPeriod    = 10 * time.Millisecond
	customerCount = 12
	// claimStreamPrefix is the common prefix of the names of the claim streams.
	claimStreamPrefix = "claims-"
)

var startTime = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// newNode returns the node of router r0 in a fleet with a number of routers, four engines and a configuration, after its first
// tick.
func newNode(routers int) *node.Node {
	n := newUntickedNode(routers)
	n.Tick(startTime)
	for _, position := range n.Positions() {
		if strings.HasPrefix(position.Stream, claimStreamPrefix) { // Positions includes the claim streams only after the first tick.
			records := []external.Record{{AppendedAt: startTime, Data: claim.EncodeBatch(nil)}}
			n.Page(startTime, position.Stream, external.Page{Records: records, EndOffset: 1})
		}
	}
	return n
}

// newUntickedNode returns the same node as newNode before its first tick.
func newUntickedNode(routers int) *node.Node {
	list := external.HostList{Version: 1}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		list.Hosts = append(list.Hosts, external.Host{
			Name: name, Role: external.RoleEngine, Region: "g", Zone: "z", Address: name, Model: "writer", Slots: 4,
		})
	}
	for i := range routers {
		host := external.Host{Name: fmt.Sprint("r", i), Role: external.RoleRouter, Region: "g", Zone: "z"}
		list.Hosts = append(list.Hosts, host)
	}
	change := config.Change{ID: "first", PutTemplates: []config.Template{{
		Name: "all", Weight: 1, Limits: config.Limits{Waiting: 100, Connections: 100},
		Classes: map[string]config.Class{"quick": {PatienceMs: 100}},
	}}}
	for i := range customerCount {
		change.PutCustomers = append(change.PutCustomers, config.Customer{Name: fmt.Sprint("c", i), Template: "all", Weight: 1})
	}
	n := node.New(membership.Router{Name: "r0", Region: "g", Zone: "z"}, 1, node.WithSeed(1))
	n.SetHostList(startTime, list)
	for _, position := range n.Positions() {
		page := external.Page{}
		if position.Stream == config.Stream {
			page.Records, page.EndOffset = []external.Record{{AppendedAt: startTime, Data: config.Record{Change: &change}.Encode()}}, 1
		}
		n.Page(startTime, position.Stream, page)
	}
	return n
}

// submit submits a request of a customer and returns the request's id.
func submit(c *qt.C, n *node.Node, now time.Time, customer int) uint64 {
	c.Helper()
	resolved, found := n.Store().State().Customer(fmt.Sprint("c", customer))
	c.Assert(found, qt.IsTrue)
	id, refused := n.Queue().Submit(now, requestqueue.Request{
		Customer: resolved.Number, Model: "writer", Class: "quick", PromptTokens: 10, MaxTokens: 20,
	})
	c.Assert(refused == nil, qt.IsTrue, qt.Commentf("%v", refused))
	return id
}

// startAppends starts a claim, a configuration change and a crash record. Each of them asks for an append.
func startAppends(n *node.Node, now time.Time) {
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

// encodeOutput returns an output as text, so that outputs can be compared.
func encodeOutput(c *qt.C, output node.Output) string {
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

// TestConfigAppliesBeforeTick guards against the refusal of a customer whose key is already known, because the entry queue gets
// the configuration only with the next tick.
func TestConfigAppliesBeforeTick(t *testing.T) {
	submit(qt.New(t), newUntickedNode(3), startTime, 1)
}

// TestDeterministic guards against output that depends on the order of a map or on unseeded randomness, so that a run cannot be
// repeated.
func TestDeterministic(t *testing.T) {
	c := qt.New(t)
	nodes := []*node.Node{newNode(20), newNode(20)} // Too many for a full mesh, so links depend on random probes.
	packetCount := 0
	for i := range 300 {
		now := startTime.Add(time.Duration(i) * tickPeriod)
		outputs := make([]string, 0, len(nodes))
		for _, n := range nodes {
			switch {
			case i < 10:
				n.Connected(now, fmt.Sprint("r", i+1), 7)
			case i == 20:
				startAppends(n, now)
			case i == 200:
				n.Disconnected(now, "r2", false)
			}
			for k := range 3 {
				submit(c, n, now, (i+5*k)%customerCount)
			}
			n.ObserveLoad(now, fmt.Sprint("e", i%4), external.LoadReport{MeasuredAt: now, Slots: 4, Incarnation: "1"})
			output := n.Tick(now)
			packetCount += len(output.Packets)
			outputs = append(outputs, encodeOutput(c, output)+fmt.Sprint(n.WantedPeers(now)))
		}
		c.Assert(outputs[1], qt.Equals, outputs[0], qt.Commentf("tick %d", i))
	}
	c.Assert(packetCount > 100, qt.IsTrue, qt.Commentf("%d packets", packetCount))
}

// TestOwnSchedulerGrantsInSameTick guards against a request that waits for the next tick although its own router schedules the
// pool.
func TestOwnSchedulerGrantsInSameTick(t *testing.T) {
	c := qt.New(t)
	n := newNode(1)
	now := startTime.Add(tickPeriod)
	for i := range 4 {
		n.ObserveLoad(now, fmt.Sprint("e", i), external.LoadReport{MeasuredAt: now, Slots: 4, Incarnation: "1"})
	}
	n.Tick(now)
	now = now.Add(tickPeriod)
	id := submit(c, n, now, 0)
	output := n.Tick(now)
	c.Assert(output.Decisions, qt.HasLen, 1)
	c.Assert(output.Decisions[0].RequestID, qt.Equals, id)
	c.Assert(output.Decisions[0].Target, qt.Not(qt.Equals), "")
	c.Assert(output.Packets, qt.HasLen, 0)
}

// TestReleasedPeerStaysUp guards against a peer that is considered down because its session was released, and against one that
// is considered up although its session broke.
func TestReleasedPeerStaysUp(t *testing.T) {
	for released, want := range map[bool]membership.State{true: membership.Up, false: membership.Down} {
		c := qt.New(t)
		n := newNode(2)
		n.Connected(startTime, "r1", 7)
		n.Disconnected(startTime.Add(tickPeriod), "r1", released)
		n.Tick(startTime.Add(3 * time.Second))
		peer, found := n.View().Router("r1")
		c.Assert(found, qt.IsTrue)
		c.Assert(peer.State, qt.Equals, want, qt.Commentf("released: %v", released))
	}
}

// TestAppendResultReachesItsCore guards against the result of an append that is passed to another core than the one that asked
// for it. Only the core whose append failed may react: the store and the batcher refuse, the table of suspects appends again.
func TestAppendResultReachesItsCore(t *testing.T) {
	for _, failedStream := range []string{config.Stream, suspect.Stream, claimStreamPrefix} {
		c := qt.New(t)
		n := newNode(1)
		now := startTime.Add(tickPeriod)
		startAppends(n, now)
		appends := n.Tick(now).Appends
		c.Assert(appends, qt.HasLen, 3)
		ids := make(map[uint64]bool)
		now = now.Add(tickPeriod)
		for _, request := range appends {
			ids[request.ID] = true
			if strings.HasPrefix(request.Stream, failedStream) {
				n.Appended(now, request.ID, errors.New("refused"))
			}
		}
		c.Assert(ids, qt.HasLen, 3, qt.Commentf("append ids are not unique"))
		nextOutput := n.Tick(now)
		laterOutput := n.Tick(now.Add(suspect.DefaultLimits().RetryInterval))
		appendRepeated := false
		for _, request := range laterOutput.Appends {
			appendRepeated = appendRepeated || request.Stream == suspect.Stream
		}
		c.Assert(len(nextOutput.PublishResults) == 1, qt.Equals, failedStream == config.Stream,
			qt.Commentf("results %v", nextOutput.PublishResults))
		c.Assert(len(nextOutput.ClaimVerdicts) == 1, qt.Equals, failedStream == claimStreamPrefix,
			qt.Commentf("verdicts %v", nextOutput.ClaimVerdicts))
		c.Assert(appendRepeated, qt.Equals, failedStream == suspect.Stream, qt.Commentf("after failure of %s", failedStream))
	}
}
