package accounting

import "time"

// RouteFunc returns the router that owns a customer shard and the least time between two reports to it. The owner is empty if it
// cannot be reached; the ledger then sends no report for the shard.
type RouteFunc func(shard uint32) (owner string, period time.Duration)
