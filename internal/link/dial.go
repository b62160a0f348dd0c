package link

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// redialDelay is the pause between two attempts to open a session with a peer.
const redialDelay = 500 * time.Millisecond

// dialLoop opens a session with a peer whenever there is none. It ends when the peer is no longer wanted or ctx is cancelled.
func (h *Hub) dialLoop(ctx context.Context, name string) {
	for ctx.Err() == nil {
		h.mu.Lock()
		peer := h.peers[name]
		current := h.sessions[name]
		h.mu.Unlock()
		if current == nil {
			if err := h.dial(ctx, peer); err != nil && ctx.Err() == nil {
				h.emit(Event{Peer: name, ConnectFailed: true})
			}
		} else {
			select {
			case <-current.removed:
			case <-ctx.Done():
			}
			continue
		}
		if !h.isWanted(name) {
			return
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// isWanted reports whether this router keeps a session with a peer open.
func (h *Hub) isWanted(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, dialling := h.cancelDial[name]
	return dialling
}

// dial opens one session and runs it until it ends. It returns an error if it could not open one, but nil if another session
// with the peer takes precedence.
func (h *Hub) dial(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+peer.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPacketBytes), grpc.MaxCallSendMsgSize(maxPacketBytes)))
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // Nothing can be done about a failed close.
	openTimer := time.AfterFunc(ReceiveTimeout, cancel)
	stream, err := fleetpb.NewFleetClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(h.helloPacket(peer.Name)); err != nil {
		return err
	}
	firstPacket, err := stream.Recv()
	if err != nil {
		if h.hasSession(peer.Name) {
			return nil
		}
		return err
	}
	openTimer.Stop()
	if firstPacket.GetHello().GetHost() != peer.Name {
		h.countDropped()
		return errors.New("hello at the peer's address comes from another host")
	}
	opened := newSession(firstPacket.GetHello(), true, peer.Region != h.self.Region, cancel)
	if !h.register(opened) {
		return nil
	}
	h.runSession(ctx, opened, stream)
	return nil
}

// hasSession reports whether there is a session with a peer.
func (h *Hub) hasSession(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[name] != nil
}
