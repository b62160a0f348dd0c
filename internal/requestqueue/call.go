package requestqueue

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// call is the queue's record of a submitted request, from Submit until it finishes or is refused. It waits while run is
// nil and runs otherwise.
type call struct {
	id      uint64
	request Request
	// due orders the calls of one customer at the scheduler: the time of submission plus the patience of the class.
	due time.Time
	// estimate is the expected service in milli-units.
	estimate uint64
	// long is set if the call may not take the extra slots of a target.
	long bool
	// pool is the pool that the call is announced to, or that granted its run. It is valid only if hasPool is set.
	pool    membership.Pool
	hasPool bool
	// noPoolSince is the time at which the call was last found to have no pool; each new view sets it again. It is valid only
	// while the call waits without a pool.
	noPoolSince time.Time
	// run is the granted run, nil while the call waits.
	run *run
}

// prefixHashModulus bounds prefix hashes in messages, so that the varint encoding takes at most four bytes. A collision of
// two prefixes only makes them share a preferred target.
const prefixHashModulus = 1 << 28

// demandMessage encodes a waiting call.
func (c *call) demandMessage() *fleetpb.Demand {
	demand := &fleetpb.Demand{
		Request:  c.id,
		Customer: c.request.Customer,
		Estimate: c.estimate,
		Due:      c.due.UnixMilli(),
		Prefix:   c.request.PrefixHash % prefixHashModulus,
		Apart:    c.request.Apart,
		Avoid:    c.request.ExcludedTargets,
		Long:     c.long,
	}
	if !c.request.Deadline.IsZero() {
		demand.Expiry = c.request.Deadline.UnixMilli()
	}
	return demand
}

// runMessage encodes a running call; run must not be nil.
func (c *call) runMessage() *fleetpb.Run {
	return &fleetpb.Run{
		Request:  c.id,
		Grant:    c.run.grantNumber,
		Target:   c.run.target,
		Customer: c.request.Customer,
		Charged:  max(c.estimate, c.run.served),
		Served:   c.run.served,
		Apart:    c.request.Apart,
		Long:     c.long,
	}
}
