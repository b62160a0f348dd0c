package membership

import "time"

// peer is what a router knows of its link to another router.
type peer struct {
	// session is set while there is a session.
	session bool
	// incarnation is that of the latest session.
	incarnation string
	// linked is set once there was a session or an attempt at one.
	linked bool
	// heard is the last instant at which the peer was heard, zero if never.
	heard time.Time
	// hosts is the version of the peer's host list.
	hosts uint64
}

// state returns whether the peer is up: heard in the last 2 s, or never linked.
func (p *peer) state(now time.Time) State {
	if p == nil || !p.linked || !p.heard.IsZero() && now.Sub(p.heard) <= silence {
		return Up
	}
	return Down
}

// silent tells whether the peer has a session but is not heard on it.
func (p *peer) silent(now time.Time) bool { return p.session && now.Sub(p.heard) > silence }
