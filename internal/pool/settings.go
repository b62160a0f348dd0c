package pool

import "time"

// settings are the parameters of a Scheduler.
type settings struct {
	// regionPeriod is the period of reports and summaries within a region.
	regionPeriod time.Duration
	// crossRegionPeriod is the period of reports to another region.
	crossRegionPeriod time.Duration
	// grantTTL is the time in which a grant or a loan must be used.
	grantTTL time.Duration
}
