package pool

import "cmp"

// lending names the loan of one tick from one pool to another.
type lending struct {
	to     address
	lender string
}

// compare orders loans.
func (l lending) compare(other lending) int {
	return cmp.Or(l.to.compare(other.to), cmp.Compare(l.lender, other.lender))
}
