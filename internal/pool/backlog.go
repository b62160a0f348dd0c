package pool

import (
	"cmp"
	"slices"
)

// scanLimit is the number of a customer's demands of each kind that are tried for a free slot if the first ones cannot
// use it, because they avoid its target.
const scanLimit = 16

// Kinds of demands. Suspects are kept apart, so that many of them do not hide the other requests of their customer.
const (
	kindShort = iota
	kindLong
	kindApart
	kinds
)

// backlog holds the waiting demands of one customer, each kind in the order of due times.
type backlog struct {
	customer uint32
	lists    [kinds][]*demand
	// counter is the customer's counter while customers are put into order.
	counter uint64
}

// compareBacklogs orders customers by counter, then by number.
func compareBacklogs(a, b *backlog) int {
	return cmp.Or(cmp.Compare(a.counter, b.counter), cmp.Compare(a.customer, b.customer))
}

// size returns the number of demands.
func (b *backlog) size() int {
	return len(b.lists[kindShort]) + len(b.lists[kindLong]) + len(b.lists[kindApart])
}

// list returns the list that a demand belongs to.
func (b *backlog) list(d *demand) *[]*demand {
	switch {
	case d.apart:
		return &b.lists[kindApart]
	case d.long:
		return &b.lists[kindLong]
	default:
		return &b.lists[kindShort]
	}
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
	var heads [kinds][]*demand
	for kind, list := range b.lists {
		if kind != kindLong || long {
			heads[kind] = list[:min(len(list), scanLimit)]
		}
	}
	for {
		var next *[]*demand
		for kind := range heads {
			list := &heads[kind]
			if len(*list) > 0 && (next == nil || compareDemands((*list)[0], (*next)[0]) < 0) {
				next = list
			}
		}
		if next == nil || visit((*next)[0]) {
			return
		}
		*next = (*next)[1:]
	}
}
