package pool

import "time"

// Option changes a parameter of a scheduler.
type Option func(*settings)

// WithExchangePeriods sets the periods of reports and summaries inside a region, and of reports across regions, where summaries
// go twice as often; they are 250 ms and 1 s by default.
func WithExchangePeriods(near, far time.Duration) Option {
	return func(s *settings) { s.near, s.far = near, far }
}

// WithLife sets how long a grant or a loan may wait for its use; it is 2 s by default.
func WithLife(life time.Duration) Option {
	return func(s *settings) { s.life = life }
}
