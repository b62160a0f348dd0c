package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// peer is what a connected peer last told of its configuration.
type peer struct {
	version uint64
	offset  uint64
	// known is set if the peer has read the log or has a state.
	known bool
}

// Times of fetching from peers.
const (
	// lag is the time for which a store that reads the log may be behind a peer before it fetches: the log delivers
	// a change to all routers at about the same time.
	lag = 2 * time.Second
	// lookup is the time that a starting store gives the log before it asks a peer.
	lookup = time.Second
	// refetch is the time after which another peer is asked.
	refetch = 2 * time.Second
)

// fetch is the state of fetching from peers.
type fetch struct {
	// failed is set if the last read of the log failed.
	failed bool
	// behind is the instant at which a peer was first seen ahead, zero if none is.
	behind time.Time
	// asked is the instant of the last question.
	asked time.Time
}

// due tells whether to ask a peer now.
func (f *fetch) due(now time.Time, wait time.Duration) bool {
	if f.behind.IsZero() {
		f.behind = now
	}
	return now.Sub(f.behind) >= wait && (f.asked.IsZero() || now.Sub(f.asked) >= refetch)
}

// heartbeat returns what a heartbeat tells of the sender's configuration.
func heartbeat(beat *fleetpb.Heartbeat) peer {
	return peer{
		version: beat.GetConfigVersion(),
		offset:  beat.GetConfigOffset(),
		known:   beat.GetReadAt() > 0 || beat.GetConfigOffset() > 0,
	}
}
