package pool

// Status describes one pool that this router schedules.
type Status struct {
	// Pool is the name of the pool: availability zone, model and shard, joined by slashes.
	Pool string
	// Waiting is the number of waiting requests.
	Waiting int
	// Customers is the number of customers with a waiting request.
	Customers int
	// Running is the number of runs that were granted and have not ended.
	Running int
	// Free is the number of free slots that requests of long classes may use.
	Free int
	// Lent is the number of slots lent to other pools, Borrowed the number borrowed from them and not used yet.
	Lent, Borrowed int
	// Rate is the service in milli-units per second.
	Rate uint64
	// ReachableFraction is the part of the availability zone's listed routers that this router sees as up, from 0 to 1.
	ReachableFraction float64
}
