package accounting

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

// retention is how long an owner keeps a customer or a source that is not reported. Schedulers keep the totals that they know and
// report them as floors, so a shorter retention makes totals less accurate but loses none.
const retention = 10 * time.Minute

// Owner sums the service of the customers in the shards that this router owns. Reports may be repeated, late or reordered, because
// the cumulative service of each source and incarnation is counted once.
type Owner struct {
	shards map[shardKey]*ownedShard
	// shardCount is the number of customer shards of each model in the last view.
	shardCount uint32
	lastExpiry time.Time
}

// NewOwner returns an owner without totals.
func NewOwner() *Owner { return &Owner{shards: make(map[shardKey]*ownedShard)} }

// UpdateView drops the shards that the view assigns to another router, and all shards if the number of shards changes. The totals
// of a former owner become stale, so a shard that comes back starts again from the floors that schedulers report.
func (o *Owner) UpdateView(view membership.View) {
	if shardCount := ShardCount(view); shardCount != o.shardCount {
		o.shardCount = shardCount
		clear(o.shards)
	}
	self := view.Self().Name
	maps.DeleteFunc(o.shards, func(key shardKey, _ *ownedShard) bool { return OwnerOf(view, key.model, key.shard) != self })
}

// Receive applies a report of a scheduler. It also counts a report for a shard that this router's view assigns to another router,
// because the scheduler's view may be newer.
func (o *Owner) Receive(now time.Time, from string, report *fleetpb.Report) {
	key := shardKey{model: report.GetModel(), shard: report.GetShard()}
	shard, ok := o.shards[key]
	if !ok {
		shard = newOwnedShard()
		o.shards[key] = shard
	}
	source := sourceKey{host: from, pool: report.GetSource(), incarnation: report.GetIncarnation()}
	shard.addReport(now, source, report.GetAccounts())
}

// Tick returns one answer for each source and shard reported since the last tick. It also drops expired sources and customers.
func (o *Owner) Tick(now time.Time) []message.Envelope {
	if now.Sub(o.lastExpiry) > retention/10 {
		o.lastExpiry = now
		for _, shard := range o.shards {
			shard.expire(now.Add(-retention))
		}
	}
	envelopes := make([]message.Envelope, 0, len(o.shards))
	for _, key := range slices.SortedFunc(maps.Keys(o.shards), shardKey.compare) {
		envelopes = append(envelopes, o.shards[key].takeAnswers(key)...)
	}
	return envelopes
}

// Total returns the fleet-wide service of a customer for a model in weighted milli-units, zero if this router does not know it.
func (o *Owner) Total(model string, customer uint32) uint64 {
	highest := uint64(0)
	for key, shard := range o.shards {
		if total := shard.totals[customer]; key.model == model && total != nil {
			highest = max(highest, total.units)
		}
	}
	return highest
}
