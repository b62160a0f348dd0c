package node

import (
	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Packet is what one tick has for one peer.
type Packet struct {
	// To is the name of the receiving router.
	To string
	// Bodies are the messages, in order.
	Bodies []*fleetpb.Body
}

// Output is what one tick asks of the process.
type Output struct {
	// Packets are sorted by receiver; none goes to the router itself.
	Packets []Packet
	// Appends are appends to start. Their results are handed to Appended.
	Appends []message.Append
	// Decisions end the wait of requests.
	Decisions []entry.Decision
	// ClaimVerdicts end the wait of claims.
	ClaimVerdicts []claim.Verdict
	// PublishResults end the wait of published changes.
	PublishResults []config.Result
}
