package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// ProtocolVersion is sent in each packet; packets of other versions are counted and dropped.
const ProtocolVersion = 1

// Times of links.
const (
	// ReceiveTimeout is the time after which a session that receives nothing is broken; heartbeats come every 500 ms.
	ReceiveTimeout = 2 * time.Second
	// redialPause is the time between attempts to open a session.
	redialPause = 500 * time.Millisecond
)

// maxPacket bounds one packet in bytes; a configuration of 5,800 customers fits several times.
const maxPacket = 16 << 20

const (
	// window is the number of bytes that a peer may send ahead. A fixed one keeps the library from measuring the link with a
	// ping for each message.
	window = 1 << 20
	// bufferBytes is the size of the buffers of a connection; messages are small, and a router has up to 127 of them.
	bufferBytes = 8 << 10
)

// eventBuffer is the number of events that may wait for the tick loop.
const eventBuffer = 1024

// Hub holds the sessions of one router.
type Hub struct {
	fleetpb.UnimplementedFleetServer

	self        Peer
	incarnation uint64
	events      chan Event
	recorder    Recorder
	server      *grpc.Server
	ctx         context.Context
	stop        context.CancelFunc
	wait        sync.WaitGroup

	// order keeps the events of a peer in the order of its sessions.
	order sync.Mutex

	mu       sync.Mutex
	sessions map[string]*session
	peers    map[string]Peer
	dialling map[string]context.CancelFunc
	dropped  uint64
}

// NewHub returns the hub of a router that records what it sends; Serve accepts sessions and Connect opens them.
func NewHub(self Peer, incarnation uint64, recorder Recorder) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	hub := &Hub{
		self:        self,
		incarnation: incarnation,
		recorder:    recorder,
		events:      make(chan Event, eventBuffer),
		ctx:         ctx,
		stop:        stop,
		sessions:    make(map[string]*session),
		peers:       make(map[string]Peer),
		dialling:    make(map[string]context.CancelFunc),
	}
	hub.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxPacket), grpc.MaxSendMsgSize(maxPacket),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes))
	fleetpb.RegisterFleetServer(hub.server, hub)
	return hub
}

// Serve accepts sessions on a listener until Close.
func (h *Hub) Serve(listener net.Listener) error {
	err := h.server.Serve(listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Close ends all sessions and stops accepting new ones.
func (h *Hub) Close() {
	h.stop()
	h.server.Stop()
	h.wait.Wait()
}

// Events returns the channel of what happens on the links; it must be drained until Close returns.
func (h *Hub) Events() <-chan Event { return h.events }

// DroppedCount returns the number of packets and sessions that were refused as malformed.
func (h *Hub) DroppedCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dropped
}

// SetPeers sets the peers that this router keeps sessions with; missing sessions are opened until they are no longer
// wanted. Known lists all peers, for their regions.
func (h *Hub) SetPeers(wanted []string, known []Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range known {
		h.peers[peer.Name] = peer
	}
	keep := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		keep[name] = true
		if _, dialling := h.dialling[name]; dialling || name == h.self.Name {
			continue
		}
		peer, listed := h.peers[name]
		if !listed || peer.Address == "" {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		h.dialling[name] = cancel
		h.wait.Go(func() { h.dialLoop(ctx, name) })
	}
	for name, cancel := range h.dialling {
		if keep[name] {
			continue
		}
		delete(h.dialling, name)
		if open := h.sessions[name]; open != nil && open.dialled {
			open.release()
		}
		// The loop ends once its session has, so that the peer sees an end and not a failure.
		time.AfterFunc(ReceiveTimeout, cancel)
	}
}

// Send queues messages for a peer; without a session they are lost, as the cores expect.
func (h *Hub) Send(to string, bodies []*fleetpb.Body) {
	h.mu.Lock()
	open := h.sessions[to]
	h.mu.Unlock()
	if open != nil {
		open.send(&fleetpb.Packet{Version: ProtocolVersion, Bodies: bodies})
	}
}

// Link accepts one session; it implements fleetpb.FleetServer.
func (h *Hub) Link(in grpc.BidiStreamingServer[fleetpb.Packet, fleetpb.Packet]) error {
	first, err := in.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if first.GetVersion() != ProtocolVersion || hello.GetHost() == "" || hello.GetRecipient() != h.self.Name {
		h.countDropped()
		return errors.New("the first packet does not open a session with this host")
	}
	ctx, cancel := context.WithCancel(in.Context())
	defer cancel()
	accepted := newSession(hello, false, h.crosses(hello.GetHost()), cancel)
	if !h.admit(accepted) {
		return errors.New("a session with this host is already open")
	}
	if err := in.Send(h.hello(hello.GetHost())); err != nil {
		h.end(accepted, false)
		return err
	}
	h.run(ctx, accepted, in)
	return nil
}

// hello returns the packet that opens a session.
func (h *Hub) hello(recipient string) *fleetpb.Packet {
	return &fleetpb.Packet{
		Version: ProtocolVersion,
		Hello: &fleetpb.Hello{
			Host: h.self.Name, Incarnation: h.incarnation, Recipient: recipient, Region: h.self.Region, Zone: h.self.Zone,
		},
	}
}

// crosses reports whether a peer is in another region.
func (h *Hub) crosses(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, listed := h.peers[peer]
	return listed && known.Region != h.self.Region
}

// countDropped counts a malformed packet or session.
func (h *Hub) countDropped() {
	h.mu.Lock()
	h.dropped++
	h.mu.Unlock()
}

// admit registers a session unless it loses against an open one. When both sides dial at the same time, the session
// dialled by the host with the lower name stays; otherwise the newer session replaces the older one.
func (h *Hub) admit(candidate *session) bool {
	h.order.Lock()
	defer h.order.Unlock()
	h.mu.Lock()
	previous := h.sessions[candidate.peer]
	if previous != nil && previous.incarnation == candidate.incarnation && previous.dialled != candidate.dialled {
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
	if previous != nil {
		previous.close()
		h.emit(Event{Peer: candidate.peer, Disconnected: true})
	}
	h.emit(Event{
		Peer: candidate.peer, Incarnation: candidate.incarnation, Region: candidate.region, Zone: candidate.zone, Connected: true,
	})
	return true
}

// end closes a session and tells of it, unless a newer session has replaced it.
func (h *Hub) end(ended *session, released bool) {
	ended.close()
	h.order.Lock()
	defer h.order.Unlock()
	h.mu.Lock()
	current := h.sessions[ended.peer] == ended
	if current {
		delete(h.sessions, ended.peer)
	}
	h.mu.Unlock()
	if current {
		h.emit(Event{Peer: ended.peer, Disconnected: true, Released: released})
	}
}

// emit hands an event to the tick loop.
func (h *Hub) emit(event Event) {
	select {
	case h.events <- event:
	case <-h.ctx.Done():
	}
}

// run moves packets until the session breaks.
func (h *Hub) run(ctx context.Context, open *session, both stream) {
	var last error
	defer func() { h.end(open, errors.Is(last, io.EOF) || open.wasReleased()) }()
	go open.write(both, h.recorder)
	packets := make(chan *fleetpb.Packet)
	failed := make(chan error, 1)
	go receive(ctx, both, packets, failed)
	silence := time.NewTimer(ReceiveTimeout)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-silence.C:
			return
		case last = <-failed:
			return
		case packet := <-packets:
			silence.Reset(ReceiveTimeout)
			h.deliver(open, packet)
		}
	}
}

// receive reads packets until the stream ends, then tells why. The channel of packets has no buffer, so that the end
// comes after the last packet.
func receive(ctx context.Context, in stream, packets chan<- *fleetpb.Packet, failed chan<- error) {
	for {
		packet, err := in.Recv()
		if err != nil {
			failed <- err
			return
		}
		select {
		case packets <- packet:
		case <-ctx.Done():
			return
		}
	}
}

// deliver hands the messages of a packet to the tick loop, or counts and drops them. Messages of a replaced session
// are dropped, so that nothing of a former incarnation arrives after the next one connected.
func (h *Hub) deliver(from *session, packet *fleetpb.Packet) {
	if packet.GetVersion() != ProtocolVersion {
		h.countDropped()
		return
	}
	h.order.Lock()
	defer h.order.Unlock()
	h.mu.Lock()
	current := h.sessions[from.peer] == from
	h.mu.Unlock()
	if current && len(packet.GetBodies()) > 0 {
		h.emit(Event{Peer: from.peer, Bodies: packet.GetBodies()})
	}
}

// dialLoop opens a session with a peer whenever there is none, until it is no longer wanted.
func (h *Hub) dialLoop(ctx context.Context, name string) {
	for ctx.Err() == nil {
		h.mu.Lock()
		peer := h.peers[name]
		open := h.sessions[name]
		h.mu.Unlock()
		if open == nil {
			if err := h.dial(ctx, peer); err != nil && ctx.Err() == nil {
				h.emit(Event{Peer: name, ConnectFailed: true})
			}
		} else {
			select {
			case <-open.closed:
			case <-ctx.Done():
			}
			continue
		}
		if !h.wanted(name) {
			return
		}
		select {
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
}

// wanted reports whether sessions with a peer are to be opened.
func (h *Hub) wanted(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, dialling := h.dialling[name]
	return dialling
}

// dial opens one session and runs it. It returns an error only if no session came about.
func (h *Hub) dial(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+peer.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPacket), grpc.MaxCallSendMsgSize(maxPacket)))
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // Nothing can be done about a failed close.
	opening := time.AfterFunc(ReceiveTimeout, cancel)
	out, err := fleetpb.NewFleetClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	if err := out.Send(h.hello(peer.Name)); err != nil {
		return err
	}
	first, err := out.Recv()
	if err != nil {
		if h.connected(peer.Name) {
			return nil
		}
		return err
	}
	opening.Stop()
	if first.GetHello().GetHost() != peer.Name {
		h.countDropped()
		return errors.New("another host answered at the peer's address")
	}
	opened := newSession(first.GetHello(), true, peer.Region != h.self.Region, cancel)
	if !h.admit(opened) {
		return nil
	}
	h.run(ctx, opened, out)
	return nil
}

// connected reports whether a session with a peer is open.
func (h *Hub) connected(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[name] != nil
}
