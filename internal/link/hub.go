package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// ProtocolVersion is the version in each packet. Packets of other versions are counted and dropped.
const ProtocolVersion = 1

// ReceiveTimeout is the time without a received packet after which a session is ended; heartbeats come every 500 ms. It also
// bounds the time to open a session.
const ReceiveTimeout = 2 * time.Second

// maxPacketBytes is the maximum size of a packet. It is several times that of a configuration of 5,800 customers.
const maxPacketBytes = 16 << 20

const (
	// windowBytes is the flow-control window: how many bytes a peer may send before they are acknowledged. It is fixed because
	// gRPC otherwise estimates the bandwidth with a ping for each message.
	windowBytes = 1 << 20
	// connBufferBytes is the size of the read buffer and of the write buffer of a connection. It is small because messages are
	// small and a router has up to 127 connections.
	connBufferBytes = 8 << 10
)

// maxQueuedEvents is the maximum number of events that wait for the reader of Events. At this limit sessions wait.
const maxQueuedEvents = 1024

// Hub opens, accepts and runs the sessions of one router. It is safe for concurrent use. Its method Link implements
// fleetpb.FleetServer.
type Hub struct {
	fleetpb.UnimplementedFleetServer

	self        Peer
	incarnation uint64
	events      chan Event
	recorder    Recorder
	server      *grpc.Server
	ctx         context.Context
	cancel      context.CancelFunc
	// dialLoops counts the running dial loops.
	dialLoops sync.WaitGroup

	// eventMu serializes changes of sessions with their events, so that the events of a peer are in the order of its sessions.
	// It is locked before mu.
	eventMu sync.Mutex

	// mu protects the fields below.
	mu sync.Mutex
	// sessions holds the registered session with each peer.
	sessions map[string]*session
	// peers holds the known peers by name.
	peers map[string]Peer
	// cancelDial holds the functions that end the dial loops, by the name of the wanted peer.
	cancelDial map[string]context.CancelFunc
	// droppedCount is the value of DroppedCount.
	droppedCount uint64
}

// NewHub returns the hub of a router without sessions. Serve accepts sessions and SetPeers opens them. The recorder gets the
// sizes of all sent packets.
func NewHub(self Peer, incarnation uint64, recorder Recorder) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	hub := &Hub{
		self:        self,
		incarnation: incarnation,
		recorder:    recorder,
		events:      make(chan Event, maxQueuedEvents),
		ctx:         ctx,
		cancel:      cancel,
		sessions:    make(map[string]*session),
		peers:       make(map[string]Peer),
		cancelDial:  make(map[string]context.CancelFunc),
	}
	hub.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxPacketBytes), grpc.MaxSendMsgSize(maxPacketBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes))
	fleetpb.RegisterFleetServer(hub.server, hub)
	return hub
}

// Serve accepts sessions on a listener until Close is called, and then returns nil.
func (h *Hub) Serve(listener net.Listener) error {
	err := h.server.Serve(listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Close ends all sessions and waits for the dial loops. Serve accepts no sessions afterwards.
func (h *Hub) Close() {
	h.cancel()
	h.server.Stop()
	h.dialLoops.Wait()
}

// Events returns the channel of events. It must be read until Close returns, because sessions wait while it is full.
func (h *Hub) Events() <-chan Event { return h.events }

// DroppedCount returns the number of packets and sessions that were rejected because of a wrong version or a wrong hello.
func (h *Hub) DroppedCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.droppedCount
}

// SetPeers sets the peers with which this router keeps sessions open. A peer without a session is dialled repeatedly until one
// is open or the peer is no longer wanted; an open session that this router dialled is released if its peer is no longer wanted.
// The peers in known are added to those whose addresses and regions the hub has; an entry of the same name is replaced.
func (h *Hub) SetPeers(wanted []string, known []Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range known {
		h.peers[peer.Name] = peer
	}
	isWanted := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		isWanted[name] = true
		if _, dialling := h.cancelDial[name]; dialling || name == h.self.Name {
			continue
		}
		peer, listed := h.peers[name]
		if !listed || peer.Address == "" {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		h.cancelDial[name] = cancel
		h.dialLoops.Go(func() { h.dialLoop(ctx, name) })
	}
	for name, cancel := range h.cancelDial {
		if isWanted[name] {
			continue
		}
		delete(h.cancelDial, name)
		if current := h.sessions[name]; current != nil && current.dialled {
			current.release()
		}
		// The loop is cancelled only later, so that the released session can end in a way that the peer does not take for a
		// failure.
		time.AfterFunc(ReceiveTimeout, cancel)
	}
}

// Send queues messages for a peer. Without a session they are dropped: the senders announce their state again in a new
// session.
func (h *Hub) Send(to string, bodies []*fleetpb.Body) {
	h.mu.Lock()
	current := h.sessions[to]
	h.mu.Unlock()
	if current != nil {
		current.enqueue(&fleetpb.Packet{Version: ProtocolVersion, Bodies: bodies})
	}
}

// Link accepts one session and runs it until it ends. It implements fleetpb.FleetServer.
func (h *Hub) Link(stream grpc.BidiStreamingServer[fleetpb.Packet, fleetpb.Packet]) error {
	firstPacket, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := firstPacket.GetHello()
	if firstPacket.GetVersion() != ProtocolVersion || hello.GetHost() == "" || hello.GetRecipient() != h.self.Name {
		h.countDropped()
		return errors.New("first packet is not a hello of this protocol version for this host")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	accepted := newSession(hello, false, h.isCrossRegion(hello.GetHost()), cancel)
	if !h.register(accepted) {
		return errors.New("session with this host is already open")
	}
	if err := stream.Send(h.helloPacket(hello.GetHost())); err != nil {
		h.unregister(accepted, false)
		return err
	}
	h.runSession(ctx, accepted, stream)
	return nil
}

// helloPacket returns the first packet of a session with a recipient.
func (h *Hub) helloPacket(recipient string) *fleetpb.Packet {
	return &fleetpb.Packet{
		Version: ProtocolVersion,
		Hello: &fleetpb.Hello{
			Host: h.self.Name, Incarnation: h.incarnation, Recipient: recipient, Region: h.self.Region, Zone: h.self.Zone,
		},
	}
}

// isCrossRegion reports whether a known peer is in another region than this router.
func (h *Hub) isCrossRegion(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, listed := h.peers[peer]
	return listed && known.Region != h.self.Region
}

// countDropped counts a rejected packet or session.
func (h *Hub) countDropped() {
	h.mu.Lock()
	h.droppedCount++
	h.mu.Unlock()
}

// register makes the candidate the session with its peer and emits the events. It returns false if an open session takes
// precedence: when both hosts dial each other at the same time, the session dialled by the host with the lower name stays. In
// all other cases the newer session replaces the older one.
func (h *Hub) register(candidate *session) bool {
	h.eventMu.Lock()
	defer h.eventMu.Unlock()
	h.mu.Lock()
	existing := h.sessions[candidate.peer]
	if existing != nil && existing.incarnation == candidate.incarnation && existing.dialled != candidate.dialled {
		candidateDialler := h.self.Name
		if !candidate.dialled {
			candidateDialler = candidate.peer
		}
		if candidateDialler != min(h.self.Name, candidate.peer) {
			h.mu.Unlock()
			return false
		}
	}
	h.sessions[candidate.peer] = candidate
	h.mu.Unlock()
	if existing != nil {
		close(existing.removed)
		existing.close()
		h.emit(Event{Peer: candidate.peer, Disconnected: true})
	}
	h.emit(Event{
		Peer: candidate.peer, Incarnation: candidate.incarnation, Region: candidate.region, Zone: candidate.zone, Connected: true,
	})
	return true
}

// unregister closes a session and emits its end, unless a newer session has replaced it.
func (h *Hub) unregister(s *session, released bool) {
	s.close()
	h.eventMu.Lock()
	defer h.eventMu.Unlock()
	h.mu.Lock()
	current := h.sessions[s.peer] == s
	if current {
		delete(h.sessions, s.peer)
	}
	h.mu.Unlock()
	if current {
		close(s.removed)
		h.emit(Event{Peer: s.peer, Disconnected: true, Released: released})
	}
}

// emit sends an event to the reader of Events. It blocks while the channel is full, until the hub is closed.
func (h *Hub) emit(event Event) {
	select {
	case h.events <- event:
	case <-h.ctx.Done():
	}
}
