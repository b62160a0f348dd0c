package link

import (
	"context"
	"sync"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// queueLimit bounds the packets that wait for a slow peer. A session that reaches it is broken: announcing the full
// state again costs less than a queue of stale messages.
const queueLimit = 4096

// stream is the part of a grpc stream that both sides have.
type stream interface {
	Send(*fleetpb.Packet) error
	Recv() (*fleetpb.Packet, error)
}

// sendCloser is the part of a stream that only the dialling side has.
type sendCloser interface {
	CloseSend() error
}

// session is one open stream to a peer.
type session struct {
	peer        string
	incarnation uint64
	region      string
	zone        string
	dialled     bool
	cross       bool
	outgoing    chan *fleetpb.Packet
	cancel      context.CancelFunc
	once        sync.Once
	closed      chan struct{}
	unwanted    sync.Once
	released    chan struct{}
}

// newSession returns a session; cancel must end its stream.
func newSession(hello *fleetpb.Hello, dialled, cross bool, cancel context.CancelFunc) *session {
	return &session{
		peer:        hello.GetHost(),
		incarnation: hello.GetIncarnation(),
		region:      hello.GetRegion(),
		zone:        hello.GetZone(),
		dialled:     dialled,
		cross:       cross,
		outgoing:    make(chan *fleetpb.Packet, queueLimit),
		cancel:      cancel,
		closed:      make(chan struct{}),
		released:    make(chan struct{}),
	}
}

// close ends the session; it may be called more than once.
func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		s.cancel()
	})
}

// release ends a dialled session that is not needed any more, in a way that tells the peer so.
func (s *session) release() {
	s.unwanted.Do(func() { close(s.released) })
}

// wasReleased reports whether this side ended the session because it was not needed any more.
func (s *session) wasReleased() bool {
	select {
	case <-s.released:
		return true
	default:
		return false
	}
}

// send queues a packet, or closes the session if the peer does not keep up.
func (s *session) send(packet *fleetpb.Packet) {
	select {
	case s.outgoing <- packet:
	case <-s.closed:
	default:
		s.close()
	}
}

// write sends queued packets until the session is closed.
func (s *session) write(out stream, recorder Recorder) {
	for {
		select {
		case <-s.closed:
			return
		case <-s.released:
			if closer, dialled := out.(sendCloser); dialled {
				_ = closer.CloseSend() // The stream ends either way.
			}
			return
		case packet := <-s.outgoing:
			if err := out.Send(packet); err != nil {
				s.close()
				return
			}
			record(recorder, packet, s.cross)
		}
	}
}
