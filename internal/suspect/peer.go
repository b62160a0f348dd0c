package suspect

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// peer is a router with which this router has a session.
type peer struct {
	name string
	// unsent holds the crash records to send to the peer with the next tick.
	unsent []*fleetpb.CrashRecord
}

// takeMessages returns messages with the unsent records and clears them.
func (p *peer) takeMessages() []message.Envelope {
	var envelopes []message.Envelope
	for batch := range slices.Chunk(p.unsent, maxBatchRecords) {
		body := &fleetpb.Body{Kind: &fleetpb.Body_CrashRecords{CrashRecords: &fleetpb.CrashRecords{Records: batch}}}
		envelopes = append(envelopes, message.Envelope{To: p.name, Body: body})
	}
	p.unsent = nil
	return envelopes
}

// comparePeerName compares the name of a peer with a name, for a binary search.
func comparePeerName(p *peer, name string) int { return cmp.Compare(p.name, name) }
