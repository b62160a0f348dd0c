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

// session is one open stream to a peer.
type session struct {
	peer        string
	incarnation uint64
	dialled     bool
	cross       bool
	outgoing    chan *fleetpb.Packet
	cancel      context.CancelFunc
	once        sync.Once
	closed      chan struct{}
}

// newSession returns a session; cancel must end its stream.
func newSession(hello *fleetpb.Hello, dialled, cross bool, cancel context.CancelFunc) *session {
	return &session{
		peer:        hello.GetHost(),
		incarnation: hello.GetIncarnation(),
		dialled:     dialled,
		cross:       cross,
		outgoing:    make(chan *fleetpb.Packet, queueLimit),
		cancel:      cancel,
		closed:      make(chan struct{}),
	}
}

// close ends the session; it may be called more than once.
func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		s.cancel()
	})
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
func (s *session) write(out stream, traffic *Traffic) {
	for {
		select {
		case <-s.closed:
			return
		case packet := <-s.outgoing:
			if err := out.Send(packet); err != nil {
				s.close()
				return
			}
			traffic.add(packet, s.cross)
		}
	}
}
