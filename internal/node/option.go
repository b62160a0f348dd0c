package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
)

// options holds the parameters of a Node.
type options struct {
	seed              uint64
	logRetention      time.Duration
	claimLimits       claim.Limits
	crossRegionPeriod time.Duration
}

// defaultOptions returns the parameters that apply without options.
func defaultOptions() options {
	return options{
		seed: 1, logRetention: config.DefaultRetention, claimLimits: claim.DefaultLimits(), crossRegionPeriod: DefaultCrossRegionPeriod,
	}
}

const (
	// regionPeriod is the period in which schedulers send reports and summaries within a region.
	regionPeriod = 250 * time.Millisecond
	// DefaultCrossRegionPeriod is the default period in which schedulers send reports to other regions. Summaries to other
	// regions are sent twice in that period.
	DefaultCrossRegionPeriod = time.Second
)

// Option sets a parameter of a Node.
type Option func(*options)

// WithSeed sets the seed of random choices, 1 by default. Each router needs its own seed.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithLogRetention sets how long the log retains records, config.DefaultRetention by default.
func WithLogRetention(retention time.Duration) Option {
	return func(o *options) { o.logRetention = retention }
}

// WithCrossRegionPeriod sets the period of reports to other regions, DefaultCrossRegionPeriod by default.
func WithCrossRegionPeriod(period time.Duration) Option {
	return func(o *options) { o.crossRegionPeriod = period }
}

// WithClaimWindow sets the maximum age of accepted idempotency keys.
func WithClaimWindow(window time.Duration) Option {
	return func(o *options) { o.claimLimits.Window = window }
}
