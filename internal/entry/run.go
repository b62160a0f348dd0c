package entry

// run is a grant that was taken.
type run struct {
	grant  uint64
	target string
	owner  string
	lender string
	// loan is the number of the loan of a lent slot.
	loan  uint64
	units uint64
	// reported is the service in the last progress report; fresh is set until the first one.
	reported uint64
	fresh    bool
}
