package pool

import "slices"

// scanLimit is the number of a customer's demands that are tried for a free slot if the first ones cannot use it.
const scanLimit = 16

// backlog holds the waiting demands of one customer, each list in the order of due times.
type backlog struct {
	customer uint32
	short    []*demand
	long     []*demand
	// counter is the customer's counter while customers are put into order.
	counter uint64
}

// size returns the number of demands.
func (b *backlog) size() int { return len(b.short) + len(b.long) }

// list returns the list that a demand belongs to.
func (b *backlog) list(d *demand) *[]*demand {
	if d.long {
		return &b.long
	}
	return &b.short
}

// add inserts a demand.
func (b *backlog) add(d *demand) {
	list := b.list(d)
	at, _ := slices.BinarySearchFunc(*list, d, compareDemands)
	*list = slices.Insert(*list, at, d)
}

// remove deletes a demand.
func (b *backlog) remove(d *demand) {
	list := b.list(d)
	if at, found := slices.BinarySearchFunc(*list, d, compareDemands); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// each calls visit with the first demands in the order of due times until it returns true; long ones only if asked for.
func (b *backlog) each(long bool, visit func(*demand) bool) {
	short, rest := b.short, b.long
	if !long {
		rest = nil
	}
	for range scanLimit {
		var next *demand
		switch {
		case len(short) == 0 && len(rest) == 0:
			return
		case len(rest) == 0 || len(short) > 0 && compareDemands(short[0], rest[0]) < 0:
			next, short = short[0], short[1:]
		default:
			next, rest = rest[0], rest[1:]
		}
		if visit(next) {
			return
		}
	}
}
