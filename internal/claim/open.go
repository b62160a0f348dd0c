package claim

// Open tells whether a claim is still in the holder's table: it waits for a verdict, for its answer, or until its last
// record was read back.
func (h *Claimer) Open(claimID string) bool { return h.attempts[claimID] != nil }
