package entry

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// call is one request that waits or runs.
type call struct {
	id       uint64
	request  Request
	due      time.Time
	estimate uint64
	long     bool
	// pool is the pool that the request was announced to, or that granted it.
	pool membership.Pool
	// placed is set if pool is set.
	placed bool
	// stranded is the instant since which no pool serves the model.
	stranded time.Time
	// run is set while the request has a grant.
	run *run
}

// prefixRange cuts a prompt's prefix hash to four bytes of a message. Two prefixes with the same value only share a
// preferred target.
const prefixRange = 1 << 28

// demand returns the message form of a waiting call.
func (c *call) demand() *fleetpb.Demand {
	demand := &fleetpb.Demand{
		Request:  c.id,
		Customer: c.request.Customer,
		Estimate: c.estimate,
		Due:      c.due.UnixMilli(),
		Prefix:   c.request.PrefixHash % prefixRange,
		Apart:    c.request.Apart,
		Avoid:    c.request.ExcludedTargets,
		Long:     c.long,
	}
	if !c.request.Deadline.IsZero() {
		demand.Expiry = c.request.Deadline.UnixMilli()
	}
	return demand
}

// message returns the message form of a running call.
func (c *call) message() *fleetpb.Run {
	return &fleetpb.Run{
		Request:  c.id,
		Grant:    c.run.grant,
		Target:   c.run.target,
		Customer: c.request.Customer,
		Charged:  max(c.estimate, c.run.units),
		Served:   c.run.units,
		Apart:    c.request.Apart,
		Long:     c.long,
	}
}
