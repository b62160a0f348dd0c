package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// minRefusalLateness is the lateness of the process from which some new connections are refused unread. From
	// minRefusalLateness + refusalRamp on, only those are not that the reserve admits. A request waits for the process several times, so that
	// a router which is much later begins none in time. It lies above the lateness from which connections are handed over.
	minRefusalLateness = 20 * time.Millisecond
	refusalRamp        = 20 * time.Millisecond
)

// Admission decides which new connections a router refuses unread. A router with more work than processor time finishes nothing in time,
// whatever it does with a connection, and callers who are refused at once reach other routers. It is not safe for concurrent use.
type Admission struct {
	random  *rand.Rand
	reserve *reserve
}

// NewAdmission returns an Admission of a router that may use a part of a core, or all of one if that part is zero. The seed initializes its
// random choices.
func NewAdmission(seed uint64, share float64) *Admission {
	if share <= 0 {
		share = 1
	}
	return &Admission{random: rand.New(rand.NewPCG(seed, 0)), reserve: newReserve(share)}
}

// MayRefuse reports whether new connections may be refused unread, given how late the process handles data that arrives.
func MayRefuse(lateness time.Duration) bool { return lateness > minRefusalLateness }

// ShouldRefuse reports whether a new connection of a customer is to be refused unread, given how late the process handles data that arrives.
// cost is the processor time that this router needs for the connection otherwise.
func (a *Admission) ShouldRefuse(now time.Time, lateness time.Duration, customer string, cost time.Duration) bool {
	if a.random.Float64() >= float64(lateness-minRefusalLateness)/float64(refusalRamp) {
		return false
	}
	return !a.reserve.take(now, customer, cost)
}
