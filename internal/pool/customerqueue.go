package pool

import (
	"cmp"
	"slices"
)

// maxScannedDemands is the number of demands of each kind that are tried for a free slot per customer. The first demands may
// be unable to use the slot because they avoid its target.
const maxScannedDemands = 16

// Indexes of the queues of a customer. Suspects have a queue of their own, so that many suspects do not fill the scanned part
// of a queue and block the customer's other requests.
const (
	queueShort = iota
	queueLong
	queueSuspect
	queueKinds
)

// customerQueue holds the waiting demands of one customer, by kind and in the order of due times.
type customerQueue struct {
	customer uint32
	demands  [queueKinds][]*demand
	// counter is a copy of the customer's service counter. It is refreshed before customers are sorted by it.
	counter uint64
}

// compareByCounter orders customers by service counter, then by customer number.
func compareByCounter(a, b *customerQueue) int {
	return cmp.Or(cmp.Compare(a.counter, b.counter), cmp.Compare(a.customer, b.customer))
}

// size returns the number of demands of all kinds.
func (q *customerQueue) size() int {
	return len(q.demands[queueShort]) + len(q.demands[queueLong]) + len(q.demands[queueSuspect])
}

// listFor returns the list for the kind of a demand.
func (q *customerQueue) listFor(d *demand) *[]*demand {
	switch {
	case d.suspect:
		return &q.demands[queueSuspect]
	case d.long:
		return &q.demands[queueLong]
	default:
		return &q.demands[queueShort]
	}
}

// add inserts a demand at its due time.
func (q *customerQueue) add(d *demand) {
	list := q.listFor(d)
	i, _ := slices.BinarySearchFunc(*list, d, compareDemands)
	*list = slices.Insert(*list, i, d)
}

// remove deletes a demand. It does nothing if the demand is not queued.
func (q *customerQueue) remove(d *demand) {
	list := q.listFor(d)
	if i, found := slices.BinarySearchFunc(*list, d, compareDemands); found {
		*list = slices.Delete(*list, i, i+1)
	}
}

// visitInDueOrder calls visit with up to maxScannedDemands demands of each kind, merged in the order of due times, until visit
// returns true. Demands of long classes are skipped unless includeLong is set.
func (q *customerQueue) visitInDueOrder(includeLong bool, visit func(*demand) bool) {
	var remaining [queueKinds][]*demand
	for kind, list := range q.demands {
		if kind != queueLong || includeLong {
			remaining[kind] = list[:min(len(list), maxScannedDemands)]
		}
	}
	for {
		var next *[]*demand
		for kind := range remaining {
			list := &remaining[kind]
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
