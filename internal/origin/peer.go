package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// maxPeersWithAll is the number of peers up to which each of them is sent all origins, so that it knows them without asking.
	maxPeersWithAll = 16
	// holdersInLargeFleet is the number of peers that hold the origin of a stream in a larger fleet.
	holdersInLargeFleet = 3
	// maxBatch is the maximum number of streams in one message.
	maxBatch = 1000
)

// peer is a linked router with what is to be sent to it.
type peer struct {
	hash uint64
	zone string
	// origins are records that it should hold or has asked for, unknown the streams that it has asked for in vain, queries the
	// streams to ask it for.
	origins          []*fleetpb.StreamOrigin
	unknown, queries []uint64
}

// Connected records a new link to a peer in an availability zone. In a small fleet, the peer is sent the origins of the streams that this
// router has sent to targets. In a larger one, it asks for those that it needs.
func (d *Directory) Connected(now time.Time, name, zone string) {
	added := &peer{hash: xxhash.Sum64String(name), zone: zone}
	d.peers[name] = added
	d.hasUnsent = true
	if len(d.peers) > maxPeersWithAll {
		return
	}
	for stream, known := range d.entries {
		if known.isOwn && now.Before(known.expiresAt) {
			added.origins = append(added.origins, toProto(now, stream, known))
		}
	}
}

// Disconnected records the end of a link. The peer's answers are not awaited any longer.
func (d *Directory) Disconnected(name string) {
	delete(d.peers, name)
	for stream := range maps.Clone(d.questions) {
		d.peerAnswered(name, stream)
	}
}

// holders returns the peers that should hold the origin of a stream. In a large fleet they are in as many availability zones as
// possible.
func (d *Directory) holders(stream StreamID) []*peer {
	ranked := make([]*peer, 0, len(d.peers))
	for _, candidate := range d.peers {
		ranked = append(ranked, candidate)
	}
	if len(ranked) <= maxPeersWithAll {
		return ranked
	}
	slices.SortFunc(ranked, func(a, b *peer) int {
		return cmp.Compare(rendezvous.Weight(b.hash, uint64(stream)), rendezvous.Weight(a.hash, uint64(stream)))
	})
	zones := make(map[string]bool)
	var first, others []*peer
	for _, candidate := range ranked {
		if zones[candidate.zone] {
			others = append(others, candidate)
		} else {
			first = append(first, candidate)
		}
		zones[candidate.zone] = true
	}
	return append(first, others...)[:holdersInLargeFleet]
}

// takeBodies returns the messages to the peer and forgets what they hold.
func (p *peer) takeBodies() []*fleetpb.Body {
	var bodies []*fleetpb.Body
	for batch := range slices.Chunk(p.origins, maxBatch) {
		bodies = append(bodies, &fleetpb.Body{Kind: &fleetpb.Body_StreamOrigins{StreamOrigins: &fleetpb.StreamOrigins{Origins: batch}}})
	}
	for batch := range slices.Chunk(p.unknown, maxBatch) {
		bodies = append(bodies, &fleetpb.Body{Kind: &fleetpb.Body_StreamOrigins{StreamOrigins: &fleetpb.StreamOrigins{Unknown: batch}}})
	}
	for batch := range slices.Chunk(p.queries, maxBatch) {
		query := &fleetpb.StreamOriginQuery{Streams: batch}
		bodies = append(bodies, &fleetpb.Body{Kind: &fleetpb.Body_StreamOriginQuery{StreamOriginQuery: query}})
	}
	p.origins, p.unknown, p.queries = nil, nil, nil
	return bodies
}
