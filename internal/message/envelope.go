package message

import (
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Envelope is one message to one peer.
type Envelope struct {
	// To is the name of the receiving router; it may be the sender itself.
	To string
	// Body is the message.
	Body *fleetpb.Body
}
