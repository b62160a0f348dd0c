package measure

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/node"
)

// receiveTimeout is the time without a message after which a session is closed, equal to link.ReceiveTimeout.
const receiveTimeout = 2 * time.Second

// links holds the sessions between the routers. A session delivers packets in order because its latency is constant.
type links struct {
	product     *product
	lastSession int
	// sessions maps two routers to the number of their session. Without a session there is no entry.
	sessions   map[[2]int]int
	connecting map[[2]int]bool
}

// newLinks returns links without sessions.
func newLinks(p *product) *links {
	return &links{product: p, sessions: make(map[[2]int]int), connecting: make(map[[2]int]bool)}
}

// sessionKey returns the key of two routers, the lower index first.
func sessionKey(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// latencyBetween returns the one-way latency between two routers.
func (l *links) latencyBetween(a, b int) time.Duration {
	d := l.product.sim.deployment
	return d.latencyBetween(d.zoneOf(a), d.zoneOf(b))
}

// open starts a session from router a to router b unless one is open or being opened.
func (l *links) open(a, b int) {
	key, sim := sessionKey(a, b), l.product.sim
	if l.sessions[key] != 0 || l.connecting[key] {
		return
	}
	if !sim.routerAlive[b] || !sim.canReach(a, sim.deployment.zoneOf(b)) {
		l.product.routers[a].node.ConnectFailed(sim.currentTime(), routerName(b))
		return
	}
	l.connecting[key] = true
	sim.schedule(2*l.latencyBetween(a, b), func() {
		delete(l.connecting, key)
		if !sim.routerAlive[a] || !sim.routerAlive[b] || !sim.canReach(a, sim.deployment.zoneOf(b)) {
			return
		}
		l.lastSession++
		l.sessions[key] = l.lastSession
		for _, ends := range [][2]int{{a, b}, {b, a}} {
			r := l.product.routers[ends[0]]
			r.node.Connected(sim.currentTime(), routerName(ends[1]), uint64(sim.incarnations[ends[1]]))
			r.needsTick = true
		}
	})
}

// close ends a session and tells the routers that are alive.
func (l *links) close(a, b int) {
	key, sim := sessionKey(a, b), l.product.sim
	if l.sessions[key] == 0 {
		return
	}
	delete(l.sessions, key)
	for _, ends := range [][2]int{{a, b}, {b, a}} {
		if sim.routerAlive[ends[0]] {
			r := l.product.routers[ends[0]]
			r.node.Disconnected(sim.currentTime(), routerName(ends[1]), false)
			r.needsTick = true
		}
	}
}

// send delivers a packet in the current session. Packets in flight when the session ends are lost.
func (l *links) send(from int, packet node.Packet) {
	to, found := l.product.routerIndexes[packet.To]
	key, sim := sessionKey(from, to), l.product.sim
	session := l.sessions[key]
	if !found || session == 0 {
		return
	}
	size := proto.Size(&fleetpb.Packet{Version: 1, Bodies: packet.Bodies})
	sim.recorder.addControlBytes(size, sim.deployment.zoneOf(from) != sim.deployment.zoneOf(to))
	sim.schedule(l.latencyBetween(from, to), func() {
		if l.sessions[key] != session || !sim.canReach(from, sim.deployment.zoneOf(to)) {
			return
		}
		r := l.product.routers[to]
		for _, body := range packet.Bodies {
			r.node.Receive(sim.currentTime(), routerName(from), body)
		}
		r.needsTick = true
	})
}

// breakIsolatedSessions closes the sessions with the isolated availability zone after receiveTimeout. If the isolation
// ends earlier, they are closed nevertheless, and packets sent in the meantime stay lost.
func (l *links) breakIsolatedSessions() {
	sim := l.product.sim
	for a := range sim.incarnations {
		for b := range a {
			if sim.canReach(a, sim.deployment.zoneOf(b)) {
				continue
			}
			session := l.sessions[sessionKey(a, b)]
			sim.schedule(receiveTimeout, func() {
				if l.sessions[sessionKey(a, b)] == session {
					l.close(a, b)
				}
			})
		}
	}
}
