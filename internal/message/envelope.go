package message

import (
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Envelope is a message with its receiver.
type Envelope struct {
	// To is the name of the receiving router, which may be the sender itself.
	To string
	// Body is the message.
	Body *fleetpb.Body
}
