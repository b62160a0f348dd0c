package link_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// eventTimeout is the maximum time to wait for one event. Opening a session takes milliseconds on loopback.
const eventTimeout = 20 * time.Second

// startHub starts a hub that listens on loopback, and returns it and its address.
func startHub(t *testing.T, name string, incarnation uint64, region string) (*link.Hub, link.Peer) {
	t.Helper()
	return startHubWithRecorder(t, name, incarnation, region, metric.New())
}

// startHubWithRecorder is startHub with a recorder of the sent bytes.
func startHubWithRecorder(
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

// nextEvent returns the next event of a hub.
func nextEvent(t *testing.T, hub *link.Hub) link.Event {
	t.Helper()
	select {
	case event := <-hub.Events():
		return event
	case <-time.After(eventTimeout):
		t.Fatal("timed out waiting for an event")
		return link.Event{}
	}
}

// awaitEvent returns the next event that matches and drops those before it.
func awaitEvent(t *testing.T, hub *link.Hub, match func(link.Event) bool) link.Event {
	t.Helper()
	for {
		if event := nextEvent(t, hub); match(event) {
			return event
		}
	}
}

// heartbeat returns a heartbeat with a configuration version, which the tests use as a number of the message.
func heartbeat(version uint64) *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{ConfigVersion: version}}}
}

// TestMessagesArriveInOrder guards against lost or reordered messages within a session, and against sent bytes that are not
// counted as traffic across regions.
func TestMessagesArriveInOrder(t *testing.T) {
	metrics := metric.New()
	a, peerA := startHubWithRecorder(t, "a", 1, "east", metrics)
	b, peerB := startHub(t, "b", 2, "west")
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	connected := nextEvent(t, a)
	qt.Assert(t, connected, qt.DeepEquals, link.Event{Peer: "b", Incarnation: 2, Region: "west", Connected: true})
	qt.Assert(t, nextEvent(t, b), qt.DeepEquals, link.Event{Peer: "a", Incarnation: 1, Region: "east", Connected: true})
	const messages = 300
	for i := range messages {
		a.Send("b", []*fleetpb.Body{heartbeat(uint64(i))})
	}
	for i := range messages {
		event := nextEvent(t, b)
		qt.Assert(t, event.Bodies, qt.HasLen, 1)
		qt.Assert(t, event.Bodies[0].GetHeartbeat().GetConfigVersion(), qt.Equals, uint64(i))
	}
	counters := metrics.CounterValues()
	total := counters[string(metric.ControlBytes)]
	qt.Assert(t, total > 0, qt.IsTrue)
	qt.Assert(t, counters[string(metric.ControlCrossRegionBytes)], qt.Equals, total)
}

// TestOneSessionWhenBothDial guards against two open sessions between the same two hosts, whose messages could overtake each
// other.
func TestOneSessionWhenBothDial(t *testing.T) {
	a, peerA := startHub(t, "a", 1, "east")
	b, peerB := startHub(t, "b", 2, "east")
	known := []link.Peer{peerA, peerB}
	a.SetPeers([]string{"b"}, known)
	b.SetPeers([]string{"a"}, known)
	isConnected := func(e link.Event) bool { return e.Connected }
	awaitEvent(t, a, isConnected)
	awaitEvent(t, b, isConnected)
	// Both sides keep sending, so that the session does not time out. Messages that are lost with a replaced session are not
	// sent again, but the numbers that arrive must increase.
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	lastNumber, receivedCount := uint64(0), 0
	for nextNumber := uint64(1); receivedCount < 50; {
		select {
		case <-ticker.C:
			a.Send("b", []*fleetpb.Body{heartbeat(nextNumber)})
			b.Send("a", []*fleetpb.Body{heartbeat(nextNumber)})
			nextNumber++
		case <-a.Events():
		case event := <-b.Events():
			if event.Disconnected {
				receivedCount = 0
			}
			for _, body := range event.Bodies {
				number := body.GetHeartbeat().GetConfigVersion()
				qt.Assert(t, number > lastNumber, qt.IsTrue)
				lastNumber = number
				receivedCount++
			}
		case <-time.After(eventTimeout):
			t.Fatal("timed out waiting for an event")
		}
	}
}

// TestRestartedPeerIsNewSession guards against a restarted peer that is taken for its former incarnation.
func TestRestartedPeerIsNewSession(t *testing.T) {
	a, peerA := startHub(t, "a", 1, "east")
	firstListener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	peerB := link.Peer{Name: "b", Address: firstListener.Addr().String(), Region: "east"}
	firstHub := link.NewHub(peerB, 7, metric.New())
	go func() { _ = firstHub.Serve(firstListener) }()
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	qt.Assert(t, awaitEvent(t, a, func(e link.Event) bool { return e.Connected }).Incarnation, qt.Equals, uint64(7))
	firstHub.Close()
	awaitEvent(t, a, func(e link.Event) bool { return e.Disconnected })
	secondListener, err := net.Listen("tcp", peerB.Address)
	qt.Assert(t, err, qt.IsNil)
	secondHub := link.NewHub(peerB, 8, metric.New())
	go func() { _ = secondHub.Serve(secondListener) }()
	t.Cleanup(secondHub.Close)
	qt.Assert(t, awaitEvent(t, a, func(e link.Event) bool { return e.Connected }).Incarnation, qt.Equals, uint64(8))
}

// TestSilentPeerIsDisconnected guards against a session that stays open although the peer is frozen and only its connection is
// open.
func TestSilentPeerIsDisconnected(t *testing.T) {
	a, peerA := startHub(t, "a", 1, "east")
	_, peerB := startHub(t, "b", 2, "east")
	a.SetPeers([]string{"b"}, []link.Peer{peerA, peerB})
	awaitEvent(t, a, func(e link.Event) bool { return e.Connected })
	awaitEvent(t, a, func(e link.Event) bool { return e.Disconnected })
}

// TestUnneededSessionIsReleased guards against a peer that is considered failed because a session that nobody needs was ended.
func TestUnneededSessionIsReleased(t *testing.T) {
	a, peerA := startHub(t, "a", 1, "east")
	b, peerB := startHub(t, "b", 2, "east")
	known := []link.Peer{peerA, peerB}
	a.SetPeers([]string{"b"}, known)
	awaitEvent(t, a, func(e link.Event) bool { return e.Connected })
	awaitEvent(t, b, func(e link.Event) bool { return e.Connected })
	a.SetPeers(nil, known)
	isDisconnected := func(e link.Event) bool { return e.Disconnected }
	qt.Assert(t, awaitEvent(t, a, isDisconnected).Released, qt.IsTrue)
	qt.Assert(t, awaitEvent(t, b, isDisconnected).Released, qt.IsTrue)
	a.SetPeers([]string{"b"}, known)
	awaitEvent(t, b, func(e link.Event) bool { return e.Connected })
}

// TestWrongRecipientIsRefused guards against a session with a host that has taken over the address of another one.
func TestWrongRecipientIsRefused(t *testing.T) {
	a, peerA := startHub(t, "a", 1, "east")
	b, peerB := startHub(t, "b", 2, "east")
	peerB.Name = "c"
	a.SetPeers([]string{"c"}, []link.Peer{peerA, peerB})
	awaitEvent(t, a, func(e link.Event) bool { return e.ConnectFailed })
	qt.Assert(t, b.DroppedCount() > 0, qt.IsTrue)
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	qt.Assert(t, unix.Getrusage(unix.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestBlockedEventsCostNoProcessorTime guards against a dial loop that never stops computing while a session has ended and its end cannot
// be reported, because the reader of the events is slow.
func TestBlockedEventsCostNoProcessorTime(t *testing.T) {
	const (
		messages = 3000
		observed = 500 * time.Millisecond
	)
	dialling, diallingPeer := startHub(t, "a", 1, "r")
	slow, slowPeer := startHub(t, "b", 2, "r")
	dialling.SetPeers([]string{"b"}, []link.Peer{slowPeer})
	nextEvent(t, dialling)
	nextEvent(t, slow)
	slow.SetPeers([]string{"a"}, []link.Peer{diallingPeer})
	for i := range messages {
		dialling.Send("b", []*fleetpb.Body{heartbeat(uint64(i))})
	}
	// Nobody reads the events of the slow hub, so they fill up. Then the peer ends, and sending to it fails.
	for len(slow.Events()) < cap(slow.Events()) {
		time.Sleep(time.Millisecond)
	}
	dialling.Close()
	for range 100 {
		slow.Send("a", []*fleetpb.Body{heartbeat(0)})
		time.Sleep(time.Millisecond)
	}
	before := processorTime(t)
	time.Sleep(observed)
	used := processorTime(t) - before
	qt.Check(t, used < observed/5, qt.IsTrue, qt.Commentf("%v of processor time in %v", used, observed))
}
