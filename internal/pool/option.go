package pool

import "time"

// Option sets a parameter of a Scheduler.
type Option func(*settings)

// WithExchangePeriods sets the period of reports and summaries within a region, 250 ms by default, and that of reports to
// another region, 1 s by default. Summaries to another region are sent twice per crossRegion period.
func WithExchangePeriods(region, crossRegion time.Duration) Option {
	return func(s *settings) { s.regionPeriod, s.crossRegionPeriod = region, crossRegion }
}

// WithGrantTTL sets the time in which a grant or a loan must be used, 2 s by default.
func WithGrantTTL(ttl time.Duration) Option {
	return func(s *settings) { s.grantTTL = ttl }
}
