package config

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// peerStatus is what a connected peer last reported about its configuration.
type peerStatus struct {
	version uint64
	offset  uint64
	// hasConfig is set if the peer has read the log to its end or has a state.
	hasConfig bool
}

// Delays of fetching the configuration from peers.
const (
	// fetchDelay is the time for which a store that reads the log may be behind a peer before it fetches. The log delivers
	// a change to all routers at about the same time, so a short lag is no reason to fetch.
	fetchDelay = 2 * time.Second
	// startFetchDelay is the time for which a starting store waits for the log before it asks a peer.
	startFetchDelay = time.Second
	// fetchRetryInterval is the time after a request until a peer is asked again, if this store is still behind.
	fetchRetryInterval = 2 * time.Second
)

// fetchState tracks when to fetch the configuration from a peer.
type fetchState struct {
	// logReadFailed is set if the last read of the log failed.
	logReadFailed bool
	// behindSince is the time at which a peer was first seen to be ahead, zero if none is.
	behindSince time.Time
	// lastRequestAt is the time of the last request to a peer.
	lastRequestAt time.Time
}

// requestDue reports whether to ask a peer now. It is called while a peer is ahead, and is true once that has lasted for
// the given delay, unless a peer was asked less than fetchRetryInterval ago.
func (f *fetchState) requestDue(now time.Time, delay time.Duration) bool {
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	return now.Sub(f.behindSince) >= delay && (f.lastRequestAt.IsZero() || now.Sub(f.lastRequestAt) >= fetchRetryInterval)
}

// statusFromHeartbeat returns what a heartbeat reports about the sender's configuration.
func statusFromHeartbeat(heartbeat *fleetpb.Heartbeat) peerStatus {
	return peerStatus{
		version:   heartbeat.GetConfigVersion(),
		offset:    heartbeat.GetConfigOffset(),
		hasConfig: heartbeat.GetReadAt() > 0 || heartbeat.GetConfigOffset() > 0,
	}
}
