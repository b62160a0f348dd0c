package link

import (
	"context"
	"sync"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// maxQueuedPackets is the maximum number of packets that wait for a slow peer. At this limit the session is closed, because
// announcing the full state again costs less than a queue of stale messages.
const maxQueuedPackets = 4096

// packetStream is the part of a gRPC stream that the dialling and the accepting side have in common.
type packetStream interface {
	Send(*fleetpb.Packet) error
	Recv() (*fleetpb.Packet, error)
}

// sendCloser is the part of a gRPC stream that only the dialling side has.
type sendCloser interface {
	CloseSend() error
}

// session is one open stream to a peer. It is safe for concurrent use.
type session struct {
	peer        string
	incarnation uint64
	region      string
	zone        string
	// dialled is set if this router opened the session.
	dialled     bool
	crossRegion bool
	// outgoing holds the packets that wait to be sent.
	outgoing chan *fleetpb.Packet
	// cancel ends the stream.
	cancel    context.CancelFunc
	closeOnce sync.Once
	// closed is closed when the session ends.
	closed chan struct{}
	// removed is closed when the hub has removed or replaced the session. That is later than closed while the end of the session
	// cannot be reported.
	removed     chan struct{}
	releaseOnce sync.Once
	// released is closed when this router no longer needs the session.
	released chan struct{}
}

// newSession returns a session with the sender of hello. The function cancel must end its stream.
func newSession(hello *fleetpb.Hello, dialled, crossRegion bool, cancel context.CancelFunc) *session {
	return &session{
		peer:        hello.GetHost(),
		incarnation: hello.GetIncarnation(),
		region:      hello.GetRegion(),
		zone:        hello.GetZone(),
		dialled:     dialled,
		crossRegion: crossRegion,
		outgoing:    make(chan *fleetpb.Packet, maxQueuedPackets),
		cancel:      cancel,
		closed:      make(chan struct{}),
		removed:     make(chan struct{}),
		released:    make(chan struct{}),
	}
}

// close ends the session. It may be called more than once.
func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.cancel()
	})
}

// release ends a dialled session that this router no longer needs, so that the peer sees a normal end of the stream. It may be
// called more than once.
func (s *session) release() {
	s.releaseOnce.Do(func() { close(s.released) })
}

// wasReleased reports whether release was called.
func (s *session) wasReleased() bool {
	select {
	case <-s.released:
		return true
	default:
		return false
	}
}

// enqueue queues a packet without blocking. If the queue is full, it closes the session.
func (s *session) enqueue(packet *fleetpb.Packet) {
	select {
	case s.outgoing <- packet:
	case <-s.closed:
	default:
		s.close()
	}
}

// sendLoop sends queued packets until the session is closed or released.
func (s *session) sendLoop(stream packetStream, recorder Recorder) {
	for {
		select {
		case <-s.closed:
			return
		case <-s.released:
			if closer, ok := stream.(sendCloser); ok {
				_ = closer.CloseSend() // The stream ends either way.
			}
			return
		case packet := <-s.outgoing:
			if err := stream.Send(packet); err != nil {
				s.close()
				return
			}
			recordPacket(recorder, packet, s.crossRegion)
		}
	}
}
