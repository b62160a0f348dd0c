package accounting

import "time"

// customerTotal is the fleet-wide service of one customer.
type customerTotal struct {
	// units is the service in weighted milli-units.
	units uint64
	// reportedAt is the time of the last report of the customer.
	reportedAt time.Time
}
