package link

import "github.com/chicorydale/chicorydale/internal/fleetpb"

// Event is an event of a link: exactly one of Connected, Disconnected, ConnectFailed and Bodies is set.
type Event struct {
	// Peer is the name of the other router.
	Peer string
	// Incarnation is the other router's incarnation; set with Connected.
	Incarnation uint64
	// Region and Zone are the other router's region and availability zone; set with Connected.
	Region, Zone string
	// Connected is set when a session has been opened.
	Connected bool
	// Disconnected is set when a session has ended.
	Disconnected bool
	// Released is set with Disconnected if one side ended the session because it no longer needs it.
	Released bool
	// ConnectFailed is set when an attempt to open a session has failed.
	ConnectFailed bool
	// Bodies are the messages of one received packet, in order.
	Bodies []*fleetpb.Body
}
