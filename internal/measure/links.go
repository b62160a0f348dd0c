package measure

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/node"
)

// silence is the time without a message after which a session is broken, as in package link.
const silence = 2 * time.Second

// links are the sessions between the routers. A session is FIFO, because its latency is constant.
type links struct {
	product *product
	last    int
	// sessions holds the number of the session of two routers, the lower one first; zero or none if there is none.
	sessions map[[2]int]int
	opening  map[[2]int]bool
}

// newLinks returns links without sessions.
func newLinks(p *product) *links {
	return &links{product: p, sessions: make(map[[2]int]int), opening: make(map[[2]int]bool)}
}

// pair returns the key of two routers.
func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// latency returns the one-way latency between two routers.
func (l *links) latency(a, b int) time.Duration {
	d := l.product.world.deployment
	return d.latency(d.zoneOf(a), d.zoneOf(b))
}

// open opens a session unless there is one.
func (l *links) open(a, b int) {
	key, w := pair(a, b), l.product.world
	if l.sessions[key] != 0 || l.opening[key] {
		return
	}
	if !w.alive[b] || !w.reaches(a, w.deployment.zoneOf(b)) {
		l.product.routers[a].node.ConnectFailed(w.time(), routerName(b))
		return
	}
	l.opening[key] = true
	w.after(2*l.latency(a, b), func() {
		delete(l.opening, key)
		if !w.alive[a] || !w.alive[b] || !w.reaches(a, w.deployment.zoneOf(b)) {
			return
		}
		l.last++
		l.sessions[key] = l.last
		for _, ends := range [][2]int{{a, b}, {b, a}} {
			r := l.product.routers[ends[0]]
			r.node.Connected(w.time(), routerName(ends[1]), uint64(w.lives[ends[1]]))
			r.dirty = true
		}
	})
}

// close ends a session for the sides that are alive.
func (l *links) close(a, b int) {
	key, w := pair(a, b), l.product.world
	if l.sessions[key] == 0 {
		return
	}
	delete(l.sessions, key)
	for _, ends := range [][2]int{{a, b}, {b, a}} {
		if w.alive[ends[0]] {
			r := l.product.routers[ends[0]]
			r.node.Disconnected(w.time(), routerName(ends[1]), false)
			r.dirty = true
		}
	}
}

// send sends a packet in the present session. What is under way when the session ends is lost.
func (l *links) send(from int, packet node.Packet) {
	to, found := l.product.byName[packet.To]
	key, w := pair(from, to), l.product.world
	session := l.sessions[key]
	if !found || session == 0 {
		return
	}
	size := proto.Size(&fleetpb.Packet{Version: 1, Bodies: packet.Bodies})
	w.record.send(size, w.deployment.zoneOf(from) != w.deployment.zoneOf(to))
	w.after(l.latency(from, to), func() {
		if l.sessions[key] != session || !w.reaches(from, w.deployment.zoneOf(to)) {
			return
		}
		r := l.product.routers[to]
		for _, body := range packet.Bodies {
			r.node.Receive(w.time(), routerName(from), body)
		}
		r.dirty = true
	})
}

// cut breaks the sessions across a cut once nothing has been heard for the silence limit; if the cut ends before, what
// was sent in the meantime is lost with the session all the same.
func (l *links) cut() {
	w := l.product.world
	for a := range w.lives {
		for b := range a {
			if w.reaches(a, w.deployment.zoneOf(b)) {
				continue
			}
			session := l.sessions[pair(a, b)]
			w.after(silence, func() {
				if l.sessions[pair(a, b)] == session {
					l.close(a, b)
				}
			})
		}
	}
}
