package pool

import "cmp"

// loanKey identifies a loan from one pool to another within one tick.
type loanKey struct {
	borrower hostPool
	lender   string
	// number is the lender's number of a loan that is forwarded, zero for a new loan.
	number uint64
}

// compare orders loans by borrower, lender and number.
func (k loanKey) compare(other loanKey) int {
	return cmp.Or(k.borrower.compare(other.borrower), cmp.Compare(k.lender, other.lender), cmp.Compare(k.number, other.number))
}
