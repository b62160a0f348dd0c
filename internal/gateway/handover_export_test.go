package gateway

import (
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// Handovers is handovers for tests, at a router that is always late.
type Handovers struct{ *handovers }

// NewHandovers returns the handovers of a late router with one peer that has processor time, and a listener for the connections that it
// keeps.
func NewHandovers(peer, address string, readsWait bool) (Handovers, net.Listener) {
	return newTestHandovers(peer, handoverPeer{address: address, readsWait: readsWait}, 0)
}

// NewConfirmedHandovers is like NewHandovers with a peer that confirms connections. The callers' requests have a deadline after the timeout.
func NewConfirmedHandovers(peer, address string, timeout time.Duration) (Handovers, net.Listener) {
	return newTestHandovers(peer, handoverPeer{address: address, confirms: true}, timeout)
}

// NewTellingHandovers is like NewConfirmedHandovers with a peer that is told how long callers have waited.
func NewTellingHandovers(peer, address string) Handovers {
	handovers, _ := newTestHandovers(peer, handoverPeer{address: address, readsWait: true, confirms: true}, time.Minute)
	return handovers
}

func newTestHandovers(peer string, at handoverPeer, timeout time.Duration) (Handovers, net.Listener) {
	kept := newConnQueue(func(accepted acceptedConn) net.Conn { return accepted.TCPConn })
	parse := func(head []byte, since time.Time) requestHead {
		parsed := parseWithoutConfig(head, since)
		parsed.id, parsed.deadline = "id", since.Add(timeout)
		return parsed
	}
	h := newHandovers(zerolog.Nop(), 1000, 1, 1, kept, new(readProbe), parse, withinShare, noConfig)
	h.setPeer(time.Now(), peer, at, time.Second)
	return Handovers{h}, kept
}

// parseWithoutConfig is the parseHead of a gateway without a routing table.
func parseWithoutConfig(head []byte, since time.Time) requestHead {
	return (&Gateway{config: new(configView)}).parseHandedOver(head, since)
}

// noConfig is the version of the configuration of a router that has read none.
func noConfig() uint64 { return 0 }

// SetConfigVersion sets the version of the configuration that the router uses.
func (h Handovers) SetConfigVersion(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion = func() uint64 { return version }
}

// Reporter reports the load of a peer to a late router.
type Reporter struct{ at, peer *loadReports }

// NewReporter returns the reporter of a peer that takes connections at an address, to the router with the given handovers.
func NewReporter(to Handovers, peer, address string) Reporter {
	sender, _ := newTestHandovers("", handoverPeer{}, 0)
	newReports := func(h *handovers, of string) *loadReports {
		return &loadReports{
			handovers: h, share: 1, address: address, rotation: overload.NewRotation(), zonePeers: map[string]bool{of: true},
			takesMore: func() bool { return true },
		}
	}
	return Reporter{at: newReports(to.handovers, peer), peer: newReports(sender.handovers, "late")}
}

// Report sends the report that is due at a time when the peer uses a version of the configuration. It reports false if none is due.
func (r Reporter) Report(now time.Time, version uint64) bool {
	r.peer.handovers.configVersion = func() uint64 { return version }
	envelopes := r.peer.tick(now, 0)
	for _, envelope := range envelopes {
		for name := range r.at.zonePeers {
			r.at.receive(name, envelope.Body.GetProcessorLoad())
		}
	}
	return len(envelopes) > 0
}

// withinShare is the standing of all customers.
func withinShare(time.Time, *requestHead) overload.Standing { return overload.WithinShare }

// EndOverdue ends the requests that were due at a time and have no complete answer.
func (h Handovers) EndOverdue(now time.Time) { h.endOverdue(now) }

// EndAll ends the requests that have no complete answer because the process is about to end.
func (h Handovers) EndAll() { h.endAll() }

// Take hands a connection over if a peer has processor time, and reports whether it did.
func (h Handovers) Take(conn *net.TCPConn) bool {
	h.mu.Lock()
	h.policy.RecordStartDelay(time.Now(), time.Second)
	h.mu.Unlock()
	return h.take(h.accepted(conn, time.Now()))
}

// TakeOfCrowd is like Take at a router that is not late, but has got many connections at once.
func (h Handovers) TakeOfCrowd(conn *net.TCPConn) bool {
	h.unstarted.Store(1000)
	return h.take(h.accepted(conn, time.Now()))
}

// TakeAcceptedAt is like Take for a connection that was accepted at a time in the past, at which the peer had processor time.
func (h Handovers) TakeAcceptedAt(conn *net.TCPConn, acceptedAt time.Time) bool {
	h.mu.Lock()
	h.policy.RecordStartDelay(acceptedAt, time.Second)
	for name := range h.peers {
		h.policy.RecordPeer(acceptedAt, name, time.Second)
	}
	h.mu.Unlock()
	return h.take(h.accepted(conn, acceptedAt))
}

// LosePeer records that the link to a peer has ended, and lets the given time pass.
func (h Handovers) LosePeer(name string, elapsed time.Duration) {
	now := time.Now()
	h.peerDisconnected(now, name)
	h.checkLost(now.Add(elapsed))
}

// Probed returns the number of open connections whose peers the kernel probes.
func (h Handovers) Probed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	probed := 0
	for passed := range h.open {
		raw, err := passed.target.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if enabled, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE); err == nil && enabled != 0 {
				probed++
			}
		})
	}
	return probed
}

// Stop makes the router keep all further connections.
func (h Handovers) Stop() { h.stop() }

// EndUnused ends the connections on which nothing has arrived, and returns the number of open ones.
func (h Handovers) EndUnused() int { return h.endUnused() }

// MaxWaitingConns exports the number of connections that may wait to be accepted.
const MaxWaitingConns = maxWaitingConns

// LimitBacklog limits the connections that wait to be accepted on a listener.
func LimitBacklog(listener net.Listener) { limitBacklog(listener) }

// RefuseUnread refuses the request on an accepted connection at a router that is late and whose peer has processor time.
func RefuseUnread(conn *net.TCPConn, lateness time.Duration) {
	now := time.Now()
	h := newHandovers(zerolog.Nop(), 1000, 1, 1, nil, &readProbe{last: lateness}, parseWithoutConfig, withinShare, noConfig)
	h.setPeer(now, "peer", handoverPeer{}, time.Second)
	buffer := make([]byte, refusalBufferBytes)
	arrived := peekArrived(conn, buffer)
	newUnreadRefuser(h, 1000).refuse(conn, h.parse(arrived, now), buffer, len(arrived) > 0, now)
}

// NewLateListener returns the listener of a gateway whose process handles data late and has used its reserve for new connections. handedOver is
// set if other routers hand connections over.
func NewLateListener(g *Gateway, listener net.Listener, lateness time.Duration, handedOver bool) net.Listener {
	g.peers.probe.last = lateness
	now := time.Now()
	for !g.handovers.admission.ShouldRefuse(now, "", overload.WithinShare, time.Hour) {
		continue
	}
	return g.newAcceptor(listener, handedOver)
}

// SetLateness makes the process of a gateway handle data late.
func SetLateness(g *Gateway, lateness time.Duration) { g.handovers.setLateness(lateness) }

// SetLateness makes the process of a router handle data late.
func (h Handovers) SetLateness(lateness time.Duration) { h.setLateness(lateness) }

func (h *handovers) setLateness(lateness time.Duration) {
	h.probe.mu.Lock()
	defer h.probe.mu.Unlock()
	h.probe.last = lateness
}

// EndUnusedConns returns the number of open connections of a gateway, and ends those without a request if it drains.
func EndUnusedConns(g *Gateway, drains bool) int {
	if drains {
		return g.endUnusedConns()
	}
	g.refuser.mu.Lock()
	defer g.refuser.mu.Unlock()
	return len(g.refuser.open)
}

// NewReservingListener is like NewLateListener with a reserve and a peer that has processor time.
func NewReservingListener(g *Gateway, listener net.Listener, lateness time.Duration, peer string) net.Listener {
	g.peers.probe.last = lateness
	g.handovers.setPeer(time.Now(), "peer", handoverPeer{address: peer}, time.Second)
	return g.newAcceptor(listener, false)
}

// EndLateness makes the process of a gateway handle data at once, after it has earned what it had spent on connections.
func EndLateness(g *Gateway) {
	g.peers.probe.received(g.peers.probe.sentAt)
	g.handovers.mu.Lock()
	defer g.handovers.mu.Unlock()
	g.handovers.admission = overload.NewAdmission(1)
}

// ReadProbe exports the probe of a process.
type ReadProbe struct{ *readProbe }

// NewReadProbe returns an open probe.
func NewReadProbe() (ReadProbe, error) {
	p := new(readProbe)
	return ReadProbe{p}, p.open()
}

// Send sends a byte.
func (p ReadProbe) Send(now time.Time) { p.send(now) }

// Delay returns how late the process handles data.
func (p ReadProbe) Delay(now time.Time) time.Duration { return p.delay(now) }

// Close ends the probe.
func (p ReadProbe) Close() { p.close() }
