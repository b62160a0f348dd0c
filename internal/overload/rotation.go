package overload

import "time"

const (
	// shortLateness is the delay of periodic work from which a router leaves the rotation of the load balancer.
	shortLateness = 100 * time.Millisecond
	// leavePeriod is the time for which a router stays out of the rotation after it was last short of processor time. It is longer than the
	// 2 s in which the balancer moves its callers, so that they stay with a router that has time if they reach one.
	leavePeriod = 8 * time.Second
	// maxAbsentFraction is the part of the routers of an availability zone that may be out of the rotation for lack of processor time.
	maxAbsentFraction = 0.2
)

// Rotation decides whether a router stays in the rotation of the load balancer, by the processor time that it gets. It is not safe for
// concurrent use.
type Rotation struct {
	// absentUntil is the time until which this router is out of the rotation.
	absentUntil time.Time
	// peers tells for each router of the availability zone whether it is out of the rotation.
	peers map[string]bool
}

// NewRotation returns the decision of a router without peers, which stays in the rotation.
func NewRotation() *Rotation { return &Rotation{peers: make(map[string]bool)} }

// RecordPeer records whether a peer is out of the rotation.
func (r *Rotation) RecordPeer(name string, absent bool) { r.peers[name] = absent }

// RemovePeer removes a peer that cannot be reached.
func (r *Rotation) RemovePeer(name string) { delete(r.peers, name) }

// RecordLateness records the delay of periodic work. The router leaves the rotation if it is late and few peers have left.
func (r *Rotation) RecordLateness(now time.Time, lateness time.Duration) {
	if lateness < shortLateness || !r.IsAbsent(now) && !r.mayLeave() {
		return
	}
	r.absentUntil = now.Add(leavePeriod)
}

// IsAbsent reports whether the router is out of the rotation.
func (r *Rotation) IsAbsent(now time.Time) bool { return now.Before(r.absentUntil) }

// mayLeave reports whether enough routers of the availability zone stay without this one.
func (r *Rotation) mayLeave() bool {
	absent := 1
	for _, left := range r.peers {
		if left {
			absent++
		}
	}
	return float64(absent) <= maxAbsentFraction*float64(len(r.peers)+1)
}
