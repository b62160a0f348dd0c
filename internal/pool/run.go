package pool

import "time"

// run is a request that was granted a slot and has not ended. A run is lost once the session with its entry router has ended.
type run struct {
	key runKey
	// incarnation is the incarnation of the entry router that has the run.
	incarnation uint64
	request     uint64
	customer    uint32
	target      string
	// weight is the customer's weight at dispatch. Later corrections of the charge use it too.
	weight uint64
	// charged is the service charged to the customer so far in milli-units.
	charged uint64
	// weightedCharge is charged divided by weight.
	weightedCharge uint64
	attrs          runAttributes
	// grantedAt is zero for a run that another scheduler granted.
	grantedAt time.Time
	// deadline is the time until which the grant may be used. It is zero for a run that another scheduler granted.
	deadline time.Time
	// expiry is the caller's deadline, zero if it is not known.
	expiry time.Time
	// started is set once the entry router has reported the run as running, in a progress report or a sync.
	started bool
	// lostAt is the time at which the session with the entry router ended, zero while there is one.
	lostAt time.Time
}

// grantLapsed reports whether the grant must have expired unused: no progress was reported in time although the entry router is
// connected.
func (r *run) grantLapsed(now time.Time) bool {
	return r.lostAt.IsZero() && !r.started && now.Sub(r.deadline) > firstProgressGrace
}

// lostTooLong reports whether a lost run is no longer counted. While its target is in the pool, the run counts until the
// caller's deadline, or for lostRunTimeout if that is not known, because load reports show when it ends earlier. If the target
// is not in the pool, the run holds no slot of the pool and counts for lostRunMinimum only.
func (r *run) lostTooLong(now time.Time, targetInPool bool) bool {
	if r.lostAt.IsZero() {
		return false
	}
	if !targetInPool {
		return now.Sub(r.lostAt) > lostRunMinimum
	}
	if r.expiry.IsZero() {
		return now.Sub(r.lostAt) > lostRunTimeout
	}
	return now.After(r.expiry) && now.Sub(r.lostAt) > lostRunMinimum
}
