package overload

import "time"

const (
	// minRefusalLateness is the lateness of the process from which new connections beyond the budget are refused unread. A request waits for the
	// process several times, so that a router which is much later begins none in time. It lies above the lateness from which connections
	// are handed over.
	minRefusalLateness = 20 * time.Millisecond
	// maxLateness is the lateness from which the budget falls.
	maxLateness = 40 * time.Millisecond
)

// Admission decides which new connections a router refuses unread. A router with more work than processor time finishes nothing in time,
// whatever it does with a connection, and callers who are refused at once may reach other routers. It is not safe for concurrent use.
type Admission struct {
	budget *connBudget
}

// NewAdmission returns an Admission of a router that may use a part of a core, or all of one if that part is zero.
func NewAdmission(share float64) *Admission {
	if share <= 0 {
		share = 1
	}
	return &Admission{budget: newConnBudget(share)}
}

// MayRefuse reports whether new connections may be refused unread, given how late the process handles data that arrives: if it is late, or has
// begun more connections than it can finish. The work for a connection is spread over seconds, so that lateness shows too late.
func (a *Admission) MayRefuse(now time.Time, lateness time.Duration) bool {
	a.budget.adapt(now, lateness)
	return lateness > minRefusalLateness || a.budget.isOverdrawn(now)
}

// Begin records a new connection for which MayRefuse is false and which costs some processor time.
func (a *Admission) Begin(now time.Time, cost time.Duration) { a.budget.spend(now, cost) }

// ShouldRefuse reports whether a new connection of a customer for which MayRefuse is true is to be refused unread. cost is the processor time that
// this router needs for the connection otherwise. A customer above its share is refused as it would be after its request was read, which takes
// most of the processor time.
func (a *Admission) ShouldRefuse(now time.Time, customer string, standing Standing, cost time.Duration) bool {
	return standing == AboveShare || !a.budget.take(now, customer, standing, cost)
}
