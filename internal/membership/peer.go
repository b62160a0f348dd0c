package membership

import "time"

// peer is what a router knows of another one that it had a session with, or tried to reach.
type peer struct {
	// session is set while there is a session.
	session bool
	// incarnation is that of the latest session.
	incarnation string
	// heard is the last instant at which the peer was heard, zero if never.
	heard time.Time
	// sent is the last instant at which anything was sent to the peer, and beat that of the last heartbeat.
	sent time.Time
	beat time.Time
	// hosts is the version of the peer's host list.
	hosts uint64
}

// state returns whether the peer is up: heard in the last 2 s, or never linked.
func (p *peer) state(now time.Time) State {
	if p == nil || !p.heard.IsZero() && now.Sub(p.heard) <= silence {
		return Up
	}
	return Down
}

// fresh tells whether the peer needs no heartbeat now: another message has just shown that this router lives, and the
// last heartbeat is not old.
func (p *peer) fresh(now time.Time) bool {
	return now.Sub(p.sent) < beat && now.Sub(p.beat) < longBeat
}

// silent tells whether the peer has a session but is not heard on it.
func (p *peer) silent(now time.Time) bool { return p.session && now.Sub(p.heard) > silence }
