package claim

// IsOpen reports whether a claim is not closed yet: it waits for a verdict, for the answer of the target, or until a batcher
// confirms its last record. A closed claim counts as open until the next Tick.
func (c *Claimer) IsOpen(claimID string) bool { return c.claims[claimID] != nil }
