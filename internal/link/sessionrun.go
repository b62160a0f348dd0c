package link

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// runSession sends and receives packets until the session ends, and then unregisters it.
func (h *Hub) runSession(ctx context.Context, s *session, stream packetStream) {
	var receiveErr error
	defer func() { h.unregister(s, errors.Is(receiveErr, io.EOF) || s.wasReleased()) }()
	go s.sendLoop(stream, h.recorder)
	packets := make(chan *fleetpb.Packet)
	receiveErrs := make(chan error, 1)
	go receiveLoop(ctx, stream, packets, receiveErrs)
	receiveTimer := time.NewTimer(ReceiveTimeout)
	defer receiveTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-receiveTimer.C:
			return
		case receiveErr = <-receiveErrs:
			return
		case packet := <-packets:
			receiveTimer.Reset(ReceiveTimeout)
			h.deliver(s, packet)
		}
	}
}

// receiveLoop receives packets until the stream ends, and then sends the error. The channel of packets must be unbuffered, so
// that the error is read after the last packet.
func receiveLoop(ctx context.Context, stream packetStream, packets chan<- *fleetpb.Packet, receiveErrs chan<- error) {
	for {
		packet, err := stream.Recv()
		if err != nil {
			receiveErrs <- err
			return
		}
		select {
		case packets <- packet:
		case <-ctx.Done():
			return
		}
	}
}

// deliver emits the messages of a packet. It drops those of a replaced session, so that no message of a former incarnation comes
// after the Connected event of the next one.
func (h *Hub) deliver(s *session, packet *fleetpb.Packet) {
	if packet.GetVersion() != ProtocolVersion {
		h.countDropped()
		return
	}
	h.eventMu.Lock()
	defer h.eventMu.Unlock()
	h.mu.Lock()
	current := h.sessions[s.peer] == s
	h.mu.Unlock()
	if current && len(packet.GetBodies()) > 0 {
		h.emit(Event{Peer: s.peer, Bodies: packet.GetBodies()})
	}
}
