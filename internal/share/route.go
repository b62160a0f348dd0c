package share

import "time"

// Route tells a ledger who owns a shard and how long it waits between two reports to that owner. The owner is empty if
// it cannot be reached.
type Route func(shard uint32) (owner string, period time.Duration)
