package requestqueue

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Receive handles a message of a peer. Messages other than grants are ignored. Grants that cannot be used are returned with
// the next tick.
func (q *Queue) Receive(now time.Time, from string, body *fleetpb.Body) {
	grants := body.GetGrants()
	if grants == nil {
		return
	}
	for _, grant := range grants.GetGrants() {
		if !q.acceptGrant(now, from, grants.GetPool(), grant) {
			q.rejectGrant(from, grants.GetPool(), grant)
		}
	}
}

// acceptGrant starts a run with a grant and reports whether the grant could be used. It refuses a grant for a call that has
// ended, that already runs, or that is not announced to the sender for that pool, so that a request never has two grants. It
// also refuses a grant whose deadline has passed, one for a call whose deadline has passed, and one on an excluded target.
func (q *Queue) acceptGrant(now time.Time, from, pool string, grant *fleetpb.Grant) bool {
	c, ok := q.calls[grant.GetRequest()]
	if !ok || c.run != nil || !c.hasPool || c.pool.String() != pool || q.poolState(c.pool).scheduler != from {
		return false
	}
	deadline := time.UnixMilli(grant.GetDeadline())
	if now.After(deadline) || q.deadlinePassed(now, c) || slices.Contains(c.request.ExcludedTargets, grant.GetTarget()) {
		return false
	}
	c.run = &run{
		grantNumber: grant.GetNumber(),
		target:      grant.GetTarget(),
		slotOwner:   grant.GetOwner(),
		lenderPool:  grant.GetLender(),
		loanNumber:  grant.GetLoan(),
		unreported:  true,
	}
	q.stopWaiting(c)
	q.poolState(c.pool).moveToRunning(c)
	q.usageOf(c.request.Customer).recordGrant(now)
	q.pendingDecisions = append(q.pendingDecisions,
		Decision{RequestID: c.id, Target: c.run.target, GrantNumber: c.run.grantNumber, GrantDeadline: deadline})
	return true
}

// rejectGrant returns an unused grant to its scheduler, and to the owner of a lent slot. A call that still waits is announced
// again, because the scheduler removed its demand when it granted.
func (q *Queue) rejectGrant(from, pool string, grant *fleetpb.Grant) {
	ended := &fleetpb.Ended{Grant: grant.GetNumber(), Outcome: fleetpb.Outcome_OUTCOME_UNUSED}
	to := schedulerAddress{host: from, pool: pool}
	q.endsByScheduler[to] = append(q.endsByScheduler[to], ended)
	q.reportLoanEnd(grant.GetOwner(), grant.GetLender(), &fleetpb.Ended{
		Grant:   grant.GetNumber(),
		Outcome: fleetpb.Outcome_OUTCOME_UNUSED,
		Target:  grant.GetTarget(),
		Loan:    grant.GetLoan(),
	})
	c, ok := q.calls[grant.GetRequest()]
	if ok && c.run == nil && c.hasPool && c.pool.String() == pool && q.poolState(c.pool).scheduler == from {
		q.poolState(c.pool).pendingAnnounce[c.id] = false
	}
}

// deadlinePassed reports whether the call has a caller's deadline that has passed.
func (q *Queue) deadlinePassed(now time.Time, c *call) bool {
	return !c.request.Deadline.IsZero() && !now.Before(c.request.Deadline)
}
