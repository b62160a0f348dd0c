package link_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// testLimit bounds the wait for one event; a session takes milliseconds on loopback.
const testLimit = 20 * time.Second

// start runs a hub on loopback and returns it with its address.
func start(t *testing.T, name string, incarnation uint64, region string) (*link.Hub, link.Peer) {
	t.Helper()
	return startRecorded(t, name, incarnation, region, metric.New())
}

// startRecorded is start with a recorder of what the hub sends.
func startRecorded(
	t *testing.T, name string, incarnation uint64, region string, recorder link.Recorder,
) (*link.Hub, link.Peer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	peer := link.Peer{Name: name, Address: listener.Addr().String(), Region: region}
	hub := link.NewHub(peer, incarnation, recorder)
	go func() { _ = hub.Serve(listener) }()
	t.Cleanup(hub.Close)
	return hub, peer
}

// next returns the next event of a hub.
func next(t *testing.T, hub *link.Hub) link.Event {
	t.Helper()
	select {
	case event := <-hub.Events():
		return event
	case <-time.After(testLimit):
		t.Fatal("no event in time")
		return link.Event{}
	}
}

// await drops events until one matches.
func await(t *testing.T, hub *link.Hub, match func(link.Event) bool) link.Event {
	t.Helper()
	for {
		if event := next(t, hub); match(event) {
			return event
		}
	}
}

// heartbeat returns a message that carries a number.
func heartbeat(version uint64) *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{ConfigVersion: version}}}
}

// TestMessagesArriveInOrder guards against lost or reordered messages inside a session.
func TestMessagesArriveInOrder(t *testing.T) {
	sent := metric.New()
	a, peerA := startRecorded(t, "a", 1, "east", sent)
	b, peerB := start(t, "b", 2, "west")
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	connected := next(t, a)
	qt.Assert(t, connected, qt.DeepEquals, link.Event{Peer: "b", Incarnation: 2, Region: "west", Connected: true})
	qt.Assert(t, next(t, b), qt.DeepEquals, link.Event{Peer: "a", Incarnation: 1, Region: "east", Connected: true})
	const messages = 300
	for i := range messages {
		a.Send("b", []*fleetpb.Body{heartbeat(uint64(i))})
	}
	for i := range messages {
		event := next(t, b)
		qt.Assert(t, event.Bodies, qt.HasLen, 1)
		qt.Assert(t, event.Bodies[0].GetHeartbeat().GetConfigVersion(), qt.Equals, uint64(i))
	}
	counters := sent.CounterValues()
	total := counters[string(metric.ControlBytes)]
	qt.Assert(t, total > 0, qt.IsTrue)
	qt.Assert(t, counters[string(metric.ControlCrossRegionBytes)], qt.Equals, total)
}

// TestOneSessionWhenBothDial guards against two sessions between the same hosts, whose messages would overtake each
// other.
func TestOneSessionWhenBothDial(t *testing.T) {
	a, peerA := start(t, "a", 1, "east")
	b, peerB := start(t, "b", 2, "east")
	known := []link.Peer{peerA, peerB}
	a.SetPeers([]string{"b"}, known)
	b.SetPeers([]string{"a"}, known)
	isConnected := func(e link.Event) bool { return e.Connected }
	await(t, a, isConnected)
	await(t, b, isConnected)
	// Both keep sending, so that the session is not silent; messages that were lost with a replaced session are not
	// sent again, but the numbers must grow.
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	last, arrived := uint64(0), 0
	for sent := uint64(1); arrived < 50; {
		select {
		case <-ticker.C:
			a.Send("b", []*fleetpb.Body{heartbeat(sent)})
			b.Send("a", []*fleetpb.Body{heartbeat(sent)})
			sent++
		case <-a.Events():
		case event := <-b.Events():
			if event.Disconnected {
				arrived = 0
			}
			for _, body := range event.Bodies {
				number := body.GetHeartbeat().GetConfigVersion()
				qt.Assert(t, number > last, qt.IsTrue)
				last = number
				arrived++
			}
		case <-time.After(testLimit):
			t.Fatal("no event in time")
		}
	}
}

// TestRestartedPeerIsNewSession guards against messages of a former incarnation after a restart.
func TestRestartedPeerIsNewSession(t *testing.T) {
	a, peerA := start(t, "a", 1, "east")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	peerB := link.Peer{Name: "b", Address: listener.Addr().String(), Region: "east"}
	first := link.NewHub(peerB, 7, metric.New())
	go func() { _ = first.Serve(listener) }()
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	qt.Assert(t, await(t, a, func(e link.Event) bool { return e.Connected }).Incarnation, qt.Equals, uint64(7))
	first.Close()
	await(t, a, func(e link.Event) bool { return e.Disconnected })
	again, err := net.Listen("tcp", peerB.Address)
	qt.Assert(t, err, qt.IsNil)
	second := link.NewHub(peerB, 8, metric.New())
	go func() { _ = second.Serve(again) }()
	t.Cleanup(second.Close)
	qt.Assert(t, await(t, a, func(e link.Event) bool { return e.Connected }).Incarnation, qt.Equals, uint64(8))
}

// TestSilentPeerIsDisconnected guards against a frozen peer that keeps its connection open.
func TestSilentPeerIsDisconnected(t *testing.T) {
	a, peerA := start(t, "a", 1, "east")
	_, peerB := start(t, "b", 2, "east")
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	await(t, a, func(e link.Event) bool { return e.Connected })
	await(t, a, func(e link.Event) bool { return e.Disconnected })
}

// TestUnneededSessionIsReleased guards against a peer that counts as failed because nobody needs a link to it.
func TestUnneededSessionIsReleased(t *testing.T) {
	a, peerA := start(t, "a", 1, "east")
	b, peerB := start(t, "b", 2, "east")
	known := []link.Peer{peerA, peerB}
	a.SetPeers([]string{"b"}, known)
	await(t, a, func(e link.Event) bool { return e.Connected })
	await(t, b, func(e link.Event) bool { return e.Connected })
	a.SetPeers(nil, known)
	isEnd := func(e link.Event) bool { return e.Disconnected }
	qt.Assert(t, await(t, a, isEnd).Released, qt.IsTrue)
	qt.Assert(t, await(t, b, isEnd).Released, qt.IsTrue)
	a.SetPeers([]string{"b"}, known)
	await(t, b, func(e link.Event) bool { return e.Connected })
}

// TestWrongRecipientIsRefused guards against a session with a host that took over another one's address.
func TestWrongRecipientIsRefused(t *testing.T) {
	a, peerA := start(t, "a", 1, "east")
	b, peerB := start(t, "b", 2, "east")
	peerB.Name = "c"
	a.SetPeers([]string{"c"}, []link.Peer{peerA, peerB})
	await(t, a, func(e link.Event) bool { return e.ConnectFailed })
	qt.Assert(t, b.DroppedCount() > 0, qt.IsTrue)
}
