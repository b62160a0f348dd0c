package requestqueue

// run is an accepted grant of a call.
type run struct {
	grantNumber uint64
	target      string
	// slotOwner is the host whose scheduler owns a lent slot, empty if the granting scheduler owns it.
	slotOwner string
	// lenderPool is the pool that owns a lent slot.
	lenderPool string
	// loanNumber identifies the loan of a lent slot at the lender.
	loanNumber uint64
	// served is the service so far in milli-units.
	served uint64
	// reportedServed is the value of served in the last progress report or full state; unreported is set until the first one.
	reportedServed uint64
	unreported     bool
}
