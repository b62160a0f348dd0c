package config

import "time"

// Defaults of the options.
const (
	// DefaultRetention is the time for which the log is assumed to keep records: twice the default claim window,
	// which is the least that the claim streams need.
	DefaultRetention = 2 * time.Hour
	// DefaultPublishTimeout is the time after which a published change that was not read back is unsettled.
	DefaultPublishTimeout = 10 * time.Second
)

// Option changes a store at its creation.
type Option func(*Store)

// WithRetention sets the time for which the log keeps records. A snapshot is written after one half to three quarters
// of it.
func WithRetention(retention time.Duration) Option {
	return func(s *Store) { s.schedule.retention = retention }
}

// WithPublishTimeout sets the time after which a published change that was not read back is unsettled.
func WithPublishTimeout(patience time.Duration) Option {
	return func(s *Store) { s.patience = patience }
}

// WithSeed sets the seed of the random choices: the instants of snapshots and the peers to fetch from. Each router
// needs its own.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.seed(seed) }
}
