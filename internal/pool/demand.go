package pool

import (
	"cmp"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// demand is one waiting request of an entry router.
type demand struct {
	key      demandKey
	customer uint32
	estimate uint64
	due      int64
	prefix   uint64
	expiry   int64
	avoid    []string
	apart    bool
	long     bool
}

// newDemand returns the row of a message.
func newDemand(entry string, from *fleetpb.Demand) *demand {
	return &demand{
		key:      demandKey{entry: entry, request: from.GetRequest()},
		customer: from.GetCustomer(),
		estimate: from.GetEstimate(),
		due:      from.GetDue(),
		prefix:   from.GetPrefix(),
		expiry:   from.GetExpiry(),
		avoid:    from.GetAvoid(),
		apart:    from.GetApart(),
		long:     from.GetLong(),
	}
}

// compareDemands orders the demands of one customer by due time.
func compareDemands(a, b *demand) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.key.entry, b.key.entry),
		cmp.Compare(a.key.request, b.key.request))
}
