package accounting

import (
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/membership"
)

// maxShards is the largest number of customer shards of each model.
const maxShards = 64

// ShardCount returns the number of customer shards of each model. It is the smallest power of two, up to maxShards, with which all
// models together have at least half as many shards as there are routers. More shards would add messages without spreading the
// work, and a power of two rarely changes when hosts come or go.
func ShardCount(view membership.View) uint32 {
	routers, models := uint32(len(view.Routers())), uint32(len(view.Models()))
	shards := uint32(1)
	for shards < maxShards && 2*models*shards < routers {
		shards *= 2
	}
	return shards
}

// shardsPerBasePeriod is the number of shards of a model to which a scheduler may report in one base period. With more shards the
// period grows in proportion.
const shardsPerBasePeriod = 16

// ReportPeriod returns the period of reports for a number of shards of each model, given the period for a small fleet. In each
// period a scheduler may send a report to the owner of every shard. With 64 shards and the base period this would take more than
// half of a router's budget for control bytes.
func ReportPeriod(base time.Duration, shards uint32) time.Duration {
	return base * time.Duration(max(1, shards/shardsPerBasePeriod))
}

// OwnerOf returns the router that owns a customer shard of a model, empty if no router is up.
func OwnerOf(view membership.View, model string, shard uint32) string {
	return view.Owner("share|" + model + "|" + strconv.FormatUint(uint64(shard), 10))
}
