package suspect

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// peer is a linked router.
type peer struct {
	name string
	news []*fleetpb.CrashRecord
}

// take returns the messages with the records that the peer was not told yet.
func (p *peer) take() []message.Envelope {
	var envelopes []message.Envelope
	for batch := range slices.Chunk(p.news, maxBatch) {
		body := &fleetpb.Body{Kind: &fleetpb.Body_CrashRecords{CrashRecords: &fleetpb.CrashRecords{Records: batch}}}
		envelopes = append(envelopes, message.Envelope{To: p.name, Body: body})
	}
	p.news = nil
	return envelopes
}

// comparePeer orders peers by name.
func comparePeer(p *peer, name string) int { return cmp.Compare(p.name, name) }
