package link

import "github.com/chicorydale/chicorydale/internal/fleetpb"

// Event is what happened on a link: exactly one of Connected, Disconnected, Failed and Bodies is set.
type Event struct {
	// Peer is the name of the other router.
	Peer string
	// Incarnation is the other router's incarnation, with Connected.
	Incarnation uint64
	// Region and Zone are those of the other router, with Connected.
	Region, Zone string
	// Connected is set when a session begins.
	Connected bool
	// Disconnected is set when a session has ended.
	Disconnected bool
	// Released is set with Disconnected if one side ended the session because it did not need it any more.
	Released bool
	// ConnectFailed is set when a session could not be opened.
	ConnectFailed bool
	// Bodies are received messages, in order.
	Bodies []*fleetpb.Body
}
