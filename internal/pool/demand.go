package pool

import (
	"cmp"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// demand is one waiting request of an entry router.
type demand struct {
	key      demandKey
	customer uint32
	// estimate is the expected service in milli-units.
	estimate uint64
	// due orders the requests of one customer, in Unix milliseconds.
	due int64
	// prefix is a hash of the start of the prompt, zero if there is none.
	prefix uint64
	// expiry is the caller's deadline in Unix milliseconds, zero if it is not known.
	expiry int64
	// avoid lists the targets that must not get the request.
	avoid []string
	// suspect is set if the request is suspected of crashing targets. It must not share a target with another suspect.
	suspect bool
	// long is set if the request's class may not use the extra slots of a target.
	long bool
}

// newDemand returns the demand that an entry router announced.
func newDemand(entry string, message *fleetpb.Demand) *demand {
	return &demand{
		key:      demandKey{entry: entry, request: message.GetRequest()},
		customer: message.GetCustomer(),
		estimate: message.GetEstimate(),
		due:      message.GetDue(),
		prefix:   message.GetPrefix(),
		expiry:   message.GetExpiry(),
		avoid:    message.GetAvoid(),
		suspect:  message.GetApart(),
		long:     message.GetLong(),
	}
}

// compareDemands orders the demands of one customer by due time, then by key.
func compareDemands(a, b *demand) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.key.entry, b.key.entry),
		cmp.Compare(a.key.request, b.key.request))
}
