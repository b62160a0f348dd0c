package node

import (
	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

// Packet holds the messages of one tick to one peer.
type Packet struct {
	// To is the name of the receiving router.
	To string
	// Bodies are the messages, in order.
	Bodies []*fleetpb.Body
}

// Output is what the caller of Tick has to do.
type Output struct {
	// Packets are the packets to send, sorted by receiver. None is for the router itself.
	Packets []Packet
	// Appends are appends to start. The caller passes their results to Node.Appended.
	Appends []message.Append
	// Decisions are the decisions of the entry queue on waiting requests.
	Decisions []requestqueue.Decision
	// ClaimVerdicts are the verdicts on waiting claims.
	ClaimVerdicts []claim.Verdict
	// PublishResults are the results of published configuration changes.
	PublishResults []config.Result
}
