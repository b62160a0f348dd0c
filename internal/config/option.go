package config

import "time"

// Default values of the options.
const (
	// DefaultRetention is the time for which the log is assumed to keep records. It is twice the default claim window,
	// the minimum that the claim streams need.
	DefaultRetention = 2 * time.Hour
	// DefaultPublishTimeout is the time after which a published change that has not been read back from the log is
	// reported as OutcomeUnsettled.
	DefaultPublishTimeout = 10 * time.Second
)

// Option configures a store that NewStore creates.
type Option func(*Store)

// WithRetention sets the time for which the log keeps records. A snapshot is written when one half to three quarters of
// that time has passed since the previous one or, if there is none, since the first change.
func WithRetention(retention time.Duration) Option {
	return func(s *Store) { s.schedule.retention = retention }
}

// WithPublishTimeout sets the time after which a published change that has not been read back from the log is reported
// as OutcomeUnsettled.
func WithPublishTimeout(timeout time.Duration) Option {
	return func(s *Store) { s.publishTimeout = timeout }
}

// WithSeed sets the seed of the random choices: when to write snapshots and which peers to fetch from. Each router needs
// a seed of its own, so that they do not act at the same time.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.seedRandom(seed) }
}
