package share

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

// memory is how long an owner keeps a customer or a source without reports. Schedulers remember what they have seen
// and tell it to the owner as a floor, so that a shorter time costs accuracy only.
const memory = 10 * time.Minute

// Owner sums the service of the customer shards that this router owns. A report may be repeated, late or reordered:
// cumulative service is counted once for each source and incarnation.
type Owner struct {
	sums    map[sumKey]*sum
	shards  uint32
	expired time.Time
}

// NewOwner returns an owner without totals.
func NewOwner() *Owner { return &Owner{sums: make(map[sumKey]*sum)} }

// Locate drops the shards that the view gives to another router, and all shards if customers are divided anew. Totals of
// a former owner are stale: when the shard comes back, it starts again from the floors of the schedulers.
func (o *Owner) Locate(view membership.View) {
	if shards := Shards(view); shards != o.shards {
		o.shards = shards
		clear(o.sums)
	}
	self := view.Self().Name
	maps.DeleteFunc(o.sums, func(key sumKey, _ *sum) bool { return OwnerOf(view, key.model, key.shard) != self })
}

// Receive takes over a report of a scheduler. A report for a shard that this router's view gives to another router is
// counted too, because the scheduler's view may be newer.
func (o *Owner) Receive(now time.Time, from string, report *fleetpb.Report) {
	key := sumKey{model: report.GetModel(), shard: report.GetShard()}
	found, ok := o.sums[key]
	if !ok {
		found = newSum()
		o.sums[key] = found
	}
	source := sourceKey{host: from, source: report.GetSource(), incarnation: report.GetIncarnation()}
	found.add(now, source, report.GetAccounts())
}

// Tick returns one answer for each source that has reported since the last tick.
func (o *Owner) Tick(now time.Time) []message.Envelope {
	if now.Sub(o.expired) > memory/10 {
		o.expired = now
		for _, found := range o.sums {
			found.expire(now.Add(-memory))
		}
	}
	out := make([]message.Envelope, 0, len(o.sums))
	for _, key := range slices.SortedFunc(maps.Keys(o.sums), sumKey.compare) {
		out = append(out, o.sums[key].answers(key)...)
	}
	return out
}

// Total returns the fleet-wide service of a customer for a model, zero if this router does not know it.
func (o *Owner) Total(model string, customer uint32) uint64 {
	most := uint64(0)
	for key, found := range o.sums {
		if sum := found.totals[customer]; key.model == model && sum != nil {
			most = max(most, sum.units)
		}
	}
	return most
}
