package membership

import "time"

// peerState is the state of the connection to another router, kept once a session was opened or failed to open.
type peerState struct {
	// connected is set while a session is open.
	connected bool
	// incarnation is the peer's incarnation in the latest session.
	incarnation string
	// lastReceived is the time of the last message from the peer, zero if there was none.
	lastReceived time.Time
	// lastSent is the time at which any message was last sent to the peer.
	lastSent time.Time
	// lastHeartbeat is the time of the last heartbeat to the peer.
	lastHeartbeat time.Time
	// hostListVersion is the version of the peer's host list according to its last heartbeat.
	hostListVersion uint64
}

// state returns Up if a message from the peer arrived within silenceTimeout, and Down otherwise. A nil peerState, for a router
// with which no session was opened or attempted, is Up.
func (p *peerState) state(now time.Time) State {
	if p == nil || !p.lastReceived.IsZero() && now.Sub(p.lastReceived) <= silenceTimeout {
		return Up
	}
	return Down
}

// canSkipHeartbeat reports whether a heartbeat is not needed now, because another message was sent within heartbeatInterval and
// the last heartbeat is not older than busyHeartbeatInterval.
func (p *peerState) canSkipHeartbeat(now time.Time) bool {
	return now.Sub(p.lastSent) < heartbeatInterval && now.Sub(p.lastHeartbeat) < busyHeartbeatInterval
}

// isSilent reports whether a session with the peer is open but no message arrived within silenceTimeout.
func (p *peerState) isSilent(now time.Time) bool {
	return p.connected && now.Sub(p.lastReceived) > silenceTimeout
}
