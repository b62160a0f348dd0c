package node

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

const (
	// messageLinkTTL is how long a link is kept after the last message to the peer other than a heartbeat.
	messageLinkTTL = 30 * time.Second
	// roleLinkTTL is how long a link to the holder of a role is kept after another router has become the holder.
	roleLinkTTL = 5 * time.Second
	// probeLinkTTL is how long a link to a probed peer is kept if no other message is sent to the peer.
	probeLinkTTL = 5 * time.Second
	// maxFullMeshRouters is the maximum number of routers that all keep links to each other. With 7 to 9 hosts a full mesh takes
	// 16 heartbeats a second and detects every failure at once.
	maxFullMeshRouters = 16
)

// linkExpiries holds the times until which links are kept, by peer.
type linkExpiries map[string]time.Time

// extend keeps the link to a peer at least until a time. An empty name is ignored.
func (e linkExpiries) extend(peer string, until time.Time) {
	if peer != "" && e[peer].Before(until) {
		e[peer] = until
	}
}

// extendOnSend keeps the link to the receiver of a packet, unless the packet contains only heartbeats. It reports whether the
// packet contains another message.
func (e linkExpiries) extendOnSend(packet Packet, now time.Time) bool {
	for _, body := range packet.Bodies {
		if _, isHeartbeat := body.GetKind().(*fleetpb.Body_Heartbeat); !isHeartbeat {
			e.extend(packet.To, now.Add(messageLinkTTL))
			return true
		}
	}
	return false
}

// wantedPeers returns the peers to which links are needed, sorted: those with a link that has not expired, and in a small fleet
// all routers. It removes expired entries.
func (e linkExpiries) wantedPeers(now time.Time, view membership.View) []string {
	names := make(map[string]bool)
	maps.DeleteFunc(e, func(_ string, until time.Time) bool { return until.Before(now) })
	for name := range e {
		names[name] = true
	}
	if len(view.Routers()) <= maxFullMeshRouters {
		for _, router := range view.Routers() {
			names[router.Name] = true
		}
	}
	delete(names, view.Self().Name)
	return slices.Sorted(maps.Keys(names))
}
