package pool

// Status describes one pool that this router schedules.
type Status struct {
	// Pool is availability zone, model and shard, joined by slashes.
	Pool string
	// Waiting is the number of waiting requests.
	Waiting int
	// Customers is the number of customers with a waiting request.
	Customers int
	// Running is the number of runs that were granted and have not ended.
	Running int
	// Free is the number of free slots for long classes.
	Free int
	// Lent and Borrowed are the numbers of slots lent to other pools, and lent by them and not yet used.
	Lent, Borrowed int
	// Rate is the service a second in milli-units.
	Rate uint64
	// Fraction is the part of the availability zone's routers that this router hears.
	Fraction float64
}
