package overload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minHandoverDelay is the start delay of new connections from which some are handed over to peers. All are from
	// minHandoverDelay + handoverRamp on.
	minHandoverDelay = 10 * time.Millisecond
	handoverRamp     = 30 * time.Millisecond
	// maxUnstarted is the number of accepted connections that may wait for the process before all further ones are handed over: the
	// start delay is known only when the first of them has waited.
	maxUnstarted = 8
	// minSpare is the processor time that a peer must have left in a second to be handed connections.
	minSpare = 30 * time.Millisecond
	// connCost is the processor time that a handed over connection is taken to cost its receiver until the receiver's next report.
	connCost = 1200 * time.Microsecond
	// handoverCost is the processor time that a connection is taken to cost the router that hands it over, with the events of its answer.
	handoverCost = 700 * time.Microsecond
	// creditPeriod is the time for which connections may be handed to a peer at once, on the strength of one report.
	creditPeriod = time.Second
	// reportTTL is the time for which the report of a peer is used. Peers report at least once a second.
	reportTTL = 1500 * time.Millisecond
)

// Choice tells what happens to a new connection.
type Choice int

// What happens to a new connection.
const (
	// KeepOnTime means that this router has time for it.
	KeepOnTime Choice = iota
	// KeepWithoutPeer means that this router is late and no peer has time for it.
	KeepWithoutPeer
	// HandOver means that a peer gets it.
	HandOver
)

// peerLoad is the last report of a peer.
type peerLoad struct {
	name string
	// spare is the processor time that the peer has left per second.
	spare time.Duration
	// usableUntil is the time until which the report is used.
	usableUntil time.Time
	// credit is the processor time that connections handed over at creditedAt may still cost.
	credit     time.Duration
	creditedAt time.Time
}

// Handover decides which new connections a router with too little processor time hands over to a peer. The balancer sends all callers of
// a customer to one router, which may be short of time while its peers are not. It is not safe for concurrent use.
type Handover struct {
	random     *rand.Rand
	startDelay time.Duration
	measuredAt time.Time
	// peers are ordered by name.
	peers []*peerLoad
}

// NewHandover returns a Handover without peers, which hands over nothing. The seed initializes its random choices.
func NewHandover(seed uint64) *Handover {
	return &Handover{random: rand.New(rand.NewPCG(seed, 0))}
}

// RecordStartDelay records the time from the acceptance of a connection until the process began to handle it.
func (h *Handover) RecordStartDelay(now time.Time, delay time.Duration) {
	h.startDelay, h.measuredAt = delay, now
}

// RecordPeer records the processor time that a peer reports to have left per second.
func (h *Handover) RecordPeer(now time.Time, name string, spare time.Duration) {
	i, found := h.find(name)
	if !found {
		h.peers = slices.Insert(h.peers, i, new(peerLoad))
	}
	*h.peers[i] = peerLoad{name: name, spare: spare, usableUntil: now.Add(reportTTL), credit: maxCredit(spare), creditedAt: now}
}

// RemovePeer removes a peer that cannot be reached.
func (h *Handover) RemovePeer(name string) {
	if i, found := h.find(name); found {
		h.peers = slices.Delete(h.peers, i, i+1)
	}
}

// find returns the index of a peer, or where it would be inserted.
func (h *Handover) find(name string) (int, bool) {
	return slices.BinarySearchFunc(h.peers, name, func(load *peerLoad, name string) int { return cmp.Compare(load.name, name) })
}

// Pick decides what happens to a new connection, and returns the peer that gets it if it is handed over. unstarted is the number of earlier
// connections that wait for the process.
func (h *Handover) Pick(now time.Time, unstarted int) (peer string, choice Choice) {
	if !h.isLate(now, unstarted) {
		return "", KeepOnTime
	}
	total := time.Duration(0)
	for _, load := range h.peers {
		load.refill(now)
		total += load.usable(now)
	}
	position := time.Duration(h.random.Float64() * float64(total))
	for _, load := range h.peers {
		if position -= load.usable(now); position < 0 {
			load.credit -= connCost
			return load.name, HandOver
		}
	}
	return "", KeepWithoutPeer
}

// ConnCost returns the processor time that a new connection of this late router is taken to cost it: less if a peer has time for it.
func (h *Handover) ConnCost(now time.Time) time.Duration {
	for _, load := range h.peers {
		load.refill(now)
		if load.usable(now) > 0 {
			return handoverCost
		}
	}
	return connCost
}

// Spare returns the processor time per second that all peers with a report in use have left.
func (h *Handover) Spare(now time.Time) time.Duration {
	total := time.Duration(0)
	for _, load := range h.peers {
		if !now.After(load.usableUntil) {
			total += load.spare
		}
	}
	return total
}

// isLate reports whether this router is too late to keep a new connection. Between the bounds of the start delay, it is random.
func (h *Handover) isLate(now time.Time, unstarted int) bool {
	if unstarted >= maxUnstarted {
		return true
	}
	return now.Sub(h.measuredAt) < delayTTL && h.random.Float64() < float64(h.startDelay-minHandoverDelay)/float64(handoverRamp)
}

// StartsLate reports whether this router lately began to handle connections so late that it hands over because of that, and not only because
// many came at once.
func (h *Handover) StartsLate(now time.Time) bool {
	return now.Sub(h.measuredAt) < delayTTL && h.startDelay >= minHandoverDelay
}

// refill adds the credit for the time since the last call.
func (l *peerLoad) refill(now time.Time) {
	earned := time.Duration(float64(l.spare) * now.Sub(l.creditedAt).Seconds())
	l.credit = min(l.credit+earned, maxCredit(l.spare))
	l.creditedAt = now
}

// maxCredit returns the processor time that connections to a peer may cost at once.
func maxCredit(spare time.Duration) time.Duration {
	return time.Duration(float64(spare) * creditPeriod.Seconds())
}

// usable returns the weight of the peer in the choice of a receiver: its spare time, 0 if it must get no connection.
func (l *peerLoad) usable(now time.Time) time.Duration {
	if l.spare < minSpare || l.credit < connCost || now.After(l.usableUntil) {
		return 0
	}
	return l.spare
}
