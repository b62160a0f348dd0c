package pool

import "time"

// run is a request that was granted and has not ended.
type run struct {
	key runKey
	// incarnation is the entry router's incarnation, which knows the run.
	incarnation uint64
	request     uint64
	customer    uint32
	target      string
	// weight is the customer's weight at dispatch; corrections use the same one.
	weight uint64
	// units is the service charged so far in milli-units, paid the same in weighted milli-units.
	units uint64
	paid  uint64
	of    kind
	// granted is zero for a run that a former scheduler granted.
	granted  time.Time
	deadline time.Time
	// expiry is the caller's deadline, zero if it is not known.
	expiry time.Time
	// started is set once the entry router has reported the run.
	started bool
	// lost is the instant at which the session with the entry router broke, zero while it holds.
	lost time.Time
}

// unused reports whether the grant must have run out without being used.
func (r *run) unused(now time.Time) bool {
	return r.lost.IsZero() && !r.started && now.Sub(r.deadline) > startGrace
}

// overdue reports whether a lost run must have ended. Load reports show when it did if its target is in the pool; else
// the run holds no slot of the pool.
func (r *run) overdue(now time.Time, member bool) bool {
	if r.lost.IsZero() {
		return false
	}
	if !member {
		return now.Sub(r.lost) > lostGrace
	}
	if r.expiry.IsZero() {
		return now.Sub(r.lost) > lostLimit
	}
	return now.After(r.expiry) && now.Sub(r.lost) > lostGrace
}
