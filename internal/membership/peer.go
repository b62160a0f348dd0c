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

// silent tells whether the peer has a session but is not heard on it.
func (p *peer) silent(now time.Time) bool { return p.session && now.Sub(p.heard) > silence }
