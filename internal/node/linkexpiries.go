package node

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

const (
	// contactLife is how long a link is kept after its last message other than a heartbeat.
	contactLife = 30 * time.Second
	// roleLife is how long a link to the holder of a role is kept after another router took the role over.
	roleLife = 5 * time.Second
	// probeLife is how long a link to a probed peer is kept if nothing else is sent on it.
	probeLife = 5 * time.Second
	// meshLimit is the number of routers up to which each keeps a link to every other: with today's 7 to 9 hosts a
	// full mesh costs 16 heartbeats a second and detects every failure at once.
	meshLimit = 16
)

// contacts maps each peer to the instant after which its link is not needed any more.
type contacts map[string]time.Time

// keep keeps the link to a peer until an instant at least.
func (c contacts) keep(peer string, until time.Time) {
	if peer != "" && c[peer].Before(until) {
		c[peer] = until
	}
}

// note keeps the link that a packet goes to, unless the packet has heartbeats only, and reports whether it has others.
func (c contacts) note(packet Packet, now time.Time) bool {
	for _, body := range packet.Bodies {
		if _, beat := body.GetKind().(*fleetpb.Body_Heartbeat); !beat {
			c.keep(packet.To, now.Add(contactLife))
			return true
		}
	}
	return false
}

// wanted returns the peers to hold links to, sorted: those that were sent something or probed lately, and all routers
// of a small fleet.
func (c contacts) wanted(now time.Time, view membership.View) []string {
	names := make(map[string]bool)
	maps.DeleteFunc(c, func(_ string, until time.Time) bool { return until.Before(now) })
	for name := range c {
		names[name] = true
	}
	if len(view.Routers()) <= meshLimit {
		for _, router := range view.Routers() {
			names[router.Name] = true
		}
	}
	delete(names, view.Self().Name)
	return slices.Sorted(maps.Keys(names))
}
