package gateway

import (
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// handoverDialTimeout limits the time to open a connection to a router of the same availability zone. It is long because a late process
	// learns late that a connection is open.
	handoverDialTimeout = 2 * time.Second
	// handoverAckTimeout limits how long sent bytes may remain unacknowledged by that router. A router that is alive may leave them unread for a
	// second and more, while it waits for memory.
	handoverAckTimeout = 3 * time.Second
	// handoverBufferBytes is the size of the buffers through which a connection is passed on.
	handoverBufferBytes = 4 << 10
	// handoverConnFraction is the fraction of the file descriptors that handed over connections may use, two each.
	handoverConnFraction = 0.75
	// failedPeerPause is the time for which nothing is handed to a peer after a failed dial.
	failedPeerPause = time.Second
	// lostPeerGrace is the time from the end of the link to a peer until the connections that it has are checked.
	lostPeerGrace = 2 * time.Second
	// maxUnconfirmed is the number of connections to one peer that may wait for its confirmation. No others are handed to it meanwhile, so
	// that few callers wait for a peer that has just frozen.
	maxUnconfirmed = 32
	// checkInterval is the time without data after which a connection to such a peer is probed, and between probes.
	checkInterval = time.Second
)

// handovers passes new connections of callers on to other routers of the availability zone while this router gets too little processor
// time. A connection is passed on unread, and the other router closes it after one response, so a request is read by one router only. It
// is safe for concurrent use.
type handovers struct {
	logger zerolog.Logger
	// parse tells what the head of a request says.
	parse parseHead
	// standing tells what the customer of a request has got of its share.
	standing func(now time.Time, head *requestHead) overload.Standing
	// configVersion returns the version of the configuration that this router uses.
	configVersion func() uint64
	dialer        net.Dialer
	maxOpen       int
	buffers       sync.Pool
	// kept receives the connections that could not be handed over.
	kept *connQueue
	// unstarted is the number of accepted connections that the process has not begun to handle.
	unstarted atomic.Int32
	// probe measures how late this process is.
	probe  *readProbe
	counts handoverCounts
	unread unreadCounts

	mu        sync.Mutex
	policy    *overload.Handover
	admission *overload.Admission
	// peers holds where peers accept connections, failedUntil the time until which a peer gets none, and checkAt the
	// time at which the connections of a peer without a link are checked.
	peers       map[string]handoverPeer
	failedUntil map[string]time.Time
	checkAt     map[string]time.Time
	open        map[*handover]struct{}
	// unconfirmed is the number of connections to each peer that wait for its confirmation.
	unconfirmed map[string]int
	// overdueCheckAt is the time of the next check for overdue requests.
	overdueCheckAt time.Time
	// stopped is set when no more connections are to be handed over.
	stopped bool
}

// newHandovers returns handovers without peers, of a router that may use a part of a core. Connections that cannot be handed over go to kept.
// parse tells what the head of a request says, standing what its customer has got.
func newHandovers(
	logger zerolog.Logger, maxOpenFiles int, seed uint64, share float64, kept *connQueue, probe *readProbe, parse parseHead,
	standing func(now time.Time, head *requestHead) overload.Standing, configVersion func() uint64,
) *handovers {
	return &handovers{
		logger:        logger,
		parse:         parse,
		standing:      standing,
		configVersion: configVersion,
		dialer:        net.Dialer{Timeout: handoverDialTimeout, KeepAlive: -1, Control: setHandoverTimeout},
		maxOpen:       int(float64(maxOpenFiles) * handoverConnFraction / 2),
		buffers:       sync.Pool{New: func() any { return new(make([]byte, handoverBufferBytes)) }},
		kept:          kept,
		probe:         probe,
		admission:     overload.NewAdmission(share),
		policy:        overload.NewHandover(seed),
		peers:         make(map[string]handoverPeer),
		failedUntil:   make(map[string]time.Time),
		checkAt:       make(map[string]time.Time),
		open:          make(map[*handover]struct{}),
		unconfirmed:   make(map[string]int),
	}
}

// setHandoverTimeout sets TCP_USER_TIMEOUT, so that a connection to an unreachable router fails. It is a net.Dialer.Control function.
func setHandoverTimeout(_, _ string, rawConn syscall.RawConn) error {
	var sockErr error
	err := rawConn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(handoverAckTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// handoverPeer is a peer that takes connections.
type handoverPeer struct {
	// address is where it accepts them.
	address string
	// readsWait is set if it reads how long a caller has waited, confirms if it confirms connections.
	readsWait, confirms bool
	// configVersion is the version of the configuration that it uses.
	configVersion uint64
}

// setPeer records the processor time that a peer has left per second, and where it accepts connections. A peer whose configuration is older than that
// of this router gets none.
func (h *handovers) setPeer(now time.Time, name string, at handoverPeer, spare time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.checkAt, name)
	if now.Before(h.failedUntil[name]) {
		return
	}
	if h.isOlder(at) {
		spare = 0
	}
	h.peers[name] = at
	h.policy.RecordPeer(now, name, spare)
}

// isOlder reports whether a peer uses an older configuration than this router. Callers must not find that their router goes back to it.
func (h *handovers) isOlder(peer handoverPeer) bool { return peer.configVersion < h.configVersion() }

// peerDisconnected ends the handing over to a peer.
func (h *handovers) peerDisconnected(now time.Time, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.RemovePeer(name)
	delete(h.peers, name)
	delete(h.failedUntil, name)
	h.checkAt[name] = now.Add(lostPeerGrace)
}

// checkLost makes the kernel probe the connections of peers that have had no link for lostPeerGrace, and end those that are not
// acknowledged. The end of a link alone does not show that the peer is gone: one of the two routers may be late.
func (h *handovers) checkLost(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, checkAt := range h.checkAt {
		if now.Before(checkAt) {
			continue
		}
		delete(h.checkAt, name)
		for passed := range h.open {
			if passed.peer == name {
				passed.probe()
			}
		}
	}
}

// peerFailed records that a peer has not taken a connection.
func (h *handovers) peerFailed(name string, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !now.Before(h.failedUntil[name]) {
		event.HandoverFailed.Log(h.logger, name, cause)
	}
	h.policy.RemovePeer(name)
	h.failedUntil[name] = now.Add(failedPeerPause)
}

// confirmationEnded records that a connection no longer waits for the confirmation of a peer.
func (h *handovers) confirmationEnded(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unconfirmed[name]--
}

// connStarted records that the process has begun to handle an accepted connection.
func (h *handovers) connStarted(acceptedAt time.Time) {
	h.unstarted.Add(-1)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.RecordStartDelay(now, max(now.Sub(acceptedAt), h.probe.delay(now)))
}

// mayRefuse reports whether new connections may be refused unread, because this process is late or has begun more than it can finish.
func (h *handovers) mayRefuse(now time.Time) bool {
	lateness := h.probe.delay(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admission.MayRefuse(now, lateness)
}

// begin records a new connection that is not refused although nothing was read of it.
func (h *handovers) begin(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admission.Begin(now, h.policy.ConnCost(now))
}

// shouldRefuse reports whether the request with the given head is to be refused unread, because this process is too late for it.
func (h *handovers) shouldRefuse(now time.Time, head *requestHead) bool {
	lateness, standing := h.probe.delay(now), h.standing(now, head)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.RecordStartDelay(now, lateness) // A router that refuses all connections begins none.
	return h.admission.ShouldRefuse(now, head.customer, standing, h.policy.ConnCost(now))
}

// accepted returns a connection that was accepted just now. It may have waited for that as long as this process takes to read what arrives.
func (h *handovers) accepted(conn *net.TCPConn, now time.Time) acceptedConn {
	return acceptedConn{TCPConn: conn, acceptedAt: now, awaitedSince: now.Add(-h.probe.delay(now))}
}

// requestArrival returns when the data that waits on a new connection may have arrived, and records how long it waited to be accepted.
func (h *handovers) requestArrival(conn acceptedConn) time.Time {
	arrivedAt := earlier(requestArrival(conn.TCPConn, conn.acceptedAt), conn.awaitedSince)
	h.counts.recordQueued(conn.acceptedAt.Sub(arrivedAt))
	return arrivedAt
}

// readSince returns when data that was just read may have arrived, after it was awaited since a time: a late process reads it late.
func (h *handovers) readSince(awaitedSince time.Time) time.Time {
	now := time.Now()
	if arrivedAt := now.Add(-h.probe.delay(now)); arrivedAt.After(awaitedSince) {
		return arrivedAt
	}
	return awaitedSince
}

// parseArrived returns what the first bytes of a connection tell, which a peer may have handed over.
func (h *handovers) parseArrived(arrived []byte, now time.Time) requestHead {
	request, waited := splitWait(arrived)
	head := h.parse(request, now.Add(-waited))
	if preamble := int64(len(arrived) - len(request)); head.bytes > 0 && head.bytes < math.MaxInt64 {
		head.bytes += preamble
	}
	return head
}

// recordRefused counts a request that was refused unread.
func (h *handovers) recordRefused(head *requestHead) {
	h.counts.refused.Add(1)
	h.unread.add(head)
}

// retryDelay returns the time after which a caller that is refused is told to come back. Its deadline is zero if that is not known.
func (h *handovers) retryDelay(now, deadline time.Time) time.Duration {
	timeLeft := time.Duration(0)
	if !deadline.IsZero() {
		timeLeft = deadline.Sub(now)
	}
	_, spare := h.state(now)
	return overload.RetryDelay(h.probe.delay(now), spare, timeLeft, rand.Float64())
}

// connAccepted records that a connection of a caller was accepted. handedOver is set if a peer has handed it over.
func (h *handovers) connAccepted(handedOver bool) {
	h.unstarted.Add(1)
	if handedOver {
		h.counts.takenOver.Add(1)
	} else {
		h.counts.accepted.Add(1)
	}
}

// take hands a new connection over to a peer if this router is too late for it and a peer has time. It reports whether it did.
func (h *handovers) take(conn acceptedConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	if len(h.open) >= h.maxOpen {
		h.counts.keptAtLimit.Add(1)
		return false
	}
	peer, choice := h.policy.Pick(conn.acceptedAt, int(h.unstarted.Load()))
	switch {
	case choice == overload.KeepOnTime:
		return false
	case choice == overload.KeepWithoutPeer, h.isOlder(h.peers[peer]): // The peer may have reported before this router's last change.
		h.counts.keptWithoutPeer.Add(1)
		return false
	case h.unconfirmed[peer] >= maxUnconfirmed:
		h.counts.keptUnconfirmed.Add(1)
		return false
	}
	h.connAccepted(false)
	at := h.peers[peer]
	// A router without processor time would see each confirmation late, and hand over a third of what it can without waiting for them.
	asksPeer := at.confirms && !h.policy.StartsLate(conn.acceptedAt)
	passed := &handover{
		handovers: h, peer: peer, caller: conn, tellsWait: at.readsWait, isConfirmed: !asksPeer,
		requestEnded: make(chan struct{}),
	}
	if asksPeer {
		h.unconfirmed[peer]++
	}
	h.open[passed] = struct{}{}
	go passed.run(at.address)
	return true
}

// remove forgets a connection that has ended.
func (h *handovers) remove(passed *handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, passed)
}

// endAll ends the requests that peers have not answered, because the process is about to end.
func (h *handovers) endAll() {
	h.mu.Lock()
	open := slices.Collect(maps.Keys(h.open))
	h.mu.Unlock()
	for _, passed := range open {
		passed.giveUp(routerEnds)
	}
}

// endOverdue ends the requests that peers have not answered by their deadlines, overdueCheckInterval after the last call at the earliest.
func (h *handovers) endOverdue(now time.Time) {
	h.mu.Lock()
	if now.Before(h.overdueCheckAt) {
		h.mu.Unlock()
		return
	}
	h.overdueCheckAt = now.Add(overdueCheckInterval)
	open := slices.Collect(maps.Keys(h.open))
	h.mu.Unlock()
	for _, passed := range open {
		passed.endIfOverdue(now)
	}
}

// state returns the number of open handed over connections, and the processor time per second that all peers report to have left.
func (h *handovers) state(now time.Time) (open int, spare time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open), h.policy.Spare(now)
}

// numOpen returns the number of handed over connections that have not ended.
func (h *handovers) numOpen() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

// stop makes the router keep all further connections.
func (h *handovers) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// endUnused ends the connections on which nothing has arrived. It returns the number of open connections.
func (h *handovers) endUnused() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for passed := range h.open {
		passed.request.dismiss(passed.caller.TCPConn)
	}
	return len(h.open)
}

// keep returns a connection that could not be handed over to this router's own server. If that has ended, a request that has arrived is refused.
func (h *handovers) keep(conn acceptedConn) {
	if h.kept.put(conn) {
		return
	}
	if hasData(conn) {
		_, _ = conn.Write([]byte(unreadRefusal(retryAfter))) // A caller that has left gets no answer.
	}
	lingerClose(conn.TCPConn)
}
