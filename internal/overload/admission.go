package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// minRefusalLateness is the lateness of the process from which some new connections are refused unread. All are from
	// minRefusalLateness + refusalRamp on. It lies above the lateness from which connections are handed over.
	minRefusalLateness = 40 * time.Millisecond
	refusalRamp        = 60 * time.Millisecond
)

// Admission decides which new connections a router refuses unread. A router with more work than processor time finishes nothing in time,
// whatever it does with a connection, and callers who are refused at once reach other routers. It is not safe for concurrent use.
type Admission struct {
	random *rand.Rand
}

// NewAdmission returns an Admission. The seed initializes its random choices.
func NewAdmission(seed uint64) *Admission {
	return &Admission{random: rand.New(rand.NewPCG(seed, 0))}
}

// ShouldRefuse reports whether a new connection is to be refused unread, given how late the process handles data that arrives.
func (a *Admission) ShouldRefuse(lateness time.Duration) bool {
	return a.random.Float64() < float64(lateness-minRefusalLateness)/float64(refusalRamp)
}
