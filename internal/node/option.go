package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
)

// options are the parameters of a node.
type options struct {
	seed      uint64
	retention time.Duration
	claims    claim.Limits
	far       time.Duration
}

// defaults returns the parameters of a node without options.
func defaults() options {
	return options{seed: 1, retention: config.DefaultRetention, claims: claim.DefaultLimits(), far: DefaultCrossRegionPeriod}
}

const (
	// near is the period of the exchange of totals and summaries inside a region.
	near = 250 * time.Millisecond
	// DefaultCrossRegionPeriod is the period of totals between regions; summaries go twice as often.
	DefaultCrossRegionPeriod = time.Second
)

// Option changes a parameter of a node.
type Option func(*options)

// WithSeed sets the seed of random choices; each router needs its own.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithLogRetention sets the time for which the log keeps records.
func WithLogRetention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// WithCrossRegionPeriod sets the period of the exchange of totals and summaries between regions.
func WithCrossRegionPeriod(period time.Duration) Option {
	return func(o *options) { o.far = period }
}

// WithClaimWindow sets the age up to which idempotency keys are accepted.
func WithClaimWindow(window time.Duration) Option {
	return func(o *options) { o.claims.Window = window }
}
