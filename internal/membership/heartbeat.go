package membership

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// heartbeatInterval is the time between heartbeats to a peer that gets no other messages.
	heartbeatInterval = 500 * time.Millisecond
	// busyHeartbeatInterval is the time between heartbeats to a peer that gets other messages. It is shorter than
	// silenceTimeout, so that the versions and times in heartbeats are never older than that.
	busyHeartbeatInterval = 1500 * time.Millisecond
)

// heartbeatMessage returns a heartbeat with the current status.
func (t *Tracker) heartbeatMessage() *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{
		Leaving:       t.leaving,
		ConfigVersion: t.configStatus.ConfigVersion,
		ConfigOffset:  t.configStatus.ConfigOffset,
		HostsVersion:  t.hostList.Version,
		ReadAt:        t.configStatus.ReadAt,
	}}}
}

// takeStatusChange reports whether the status has changed since the last heartbeats, and records the current one as sent.
func (t *Tracker) takeStatusChange() bool {
	status := heartbeatStatus{
		leaving: t.leaving, configVersion: t.configStatus.ConfigVersion, hostListVersion: t.hostList.Version,
	}
	changed := status != t.lastStatus
	t.lastStatus = status
	return changed
}

// Sent records that messages were sent to a peer. Within heartbeatInterval they replace a heartbeat.
func (t *Tracker) Sent(now time.Time, name string) {
	if peer := t.peers[name]; peer != nil {
		peer.lastSent = now
	}
}

// Received records that a message from a peer with a session arrived, of whatever kind.
func (t *Tracker) Received(now time.Time, name string) {
	if peer := t.peers[name]; peer != nil && peer.connected {
		peer.lastReceived = now
	}
}
