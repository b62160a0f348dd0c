package entry

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Receive takes over a message of a peer; the queue handles grants only.
func (q *Queue) Receive(now time.Time, from string, body *fleetpb.Body) {
	grants := body.GetGrants()
	if grants == nil {
		return
	}
	for _, grant := range grants.GetGrants() {
		if !q.take(now, from, grants.GetPool(), grant) {
			q.reject(from, grants.GetPool(), grant)
		}
	}
}

// take accepts a grant for a waiting call of the scheduler that the call was announced to. A grant for a call that has
// one already, that has ended, or that was moved to another scheduler is not used, so that a request never has two.
func (q *Queue) take(now time.Time, from, pool string, grant *fleetpb.Grant) bool {
	c, ok := q.calls[grant.GetRequest()]
	if !ok || c.run != nil || !c.placed || c.pool.String() != pool || q.lane(c.pool).scheduler != from {
		return false
	}
	deadline := time.UnixMilli(grant.GetDeadline())
	if now.After(deadline) || q.expired(now, c) || slices.Contains(c.request.ExcludedTargets, grant.GetTarget()) {
		return false
	}
	c.run = &run{
		grant:  grant.GetNumber(),
		target: grant.GetTarget(),
		owner:  grant.GetOwner(),
		lender: grant.GetLender(),
		loan:   grant.GetLoan(),
		fresh:  true,
	}
	q.unwait(c)
	q.lane(c.pool).start(c)
	q.usage(c.request.Customer).grant(now)
	q.decisions = append(q.decisions,
		Decision{RequestID: c.id, Target: c.run.target, GrantNumber: c.run.grant, GrantDeadline: deadline})
	return true
}

// reject gives back a grant that cannot be used. A call that still waits is announced again, since the scheduler has
// taken it out of its demand.
func (q *Queue) reject(from, pool string, grant *fleetpb.Grant) {
	ended := &fleetpb.Ended{Grant: grant.GetNumber(), Outcome: fleetpb.Outcome_OUTCOME_UNUSED}
	to := address{host: from, pool: pool}
	q.finishes[to] = append(q.finishes[to], ended)
	q.release(grant.GetOwner(), grant.GetLender(), &fleetpb.Ended{
		Grant:   grant.GetNumber(),
		Outcome: fleetpb.Outcome_OUTCOME_UNUSED,
		Target:  grant.GetTarget(),
		Loan:    grant.GetLoan(),
	})
	c, ok := q.calls[grant.GetRequest()]
	if ok && c.run == nil && c.placed && c.pool.String() == pool && q.lane(c.pool).scheduler == from {
		q.lane(c.pool).announced[c.id] = false
	}
}

// expired reports whether the caller's deadline of a call has passed.
func (q *Queue) expired(now time.Time, c *call) bool {
	return !c.request.Deadline.IsZero() && !now.Before(c.request.Deadline)
}
