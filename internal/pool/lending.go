package pool

import "cmp"

// lending names the loan of one tick from one pool to another.
type lending struct {
	to     address
	lender string
	// number is the number of a loan that is passed on, zero for a new one.
	number uint64
}

// compare orders loans.
func (l lending) compare(other lending) int {
	return cmp.Or(l.to.compare(other.to), cmp.Compare(l.lender, other.lender), cmp.Compare(l.number, other.number))
}
