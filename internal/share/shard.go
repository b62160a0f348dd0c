package share

import (
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/membership"
)

// mostShards bounds the customer shards of each model.
const mostShards = 64

// Shards returns the number of customer shards of each model: a power of two such that about every second router owns
// one. More shards would add messages without spreading the work; a power of two seldom changes with the host list.
func Shards(view membership.View) uint32 {
	routers, models := uint32(len(view.Routers())), uint32(len(view.Models()))
	shards := uint32(1)
	for shards < mostShards && 2*models*shards < routers {
		shards *= 2
	}
	return shards
}

// periodShards is the number of shards of a model from which the period of reports grows.
const periodShards = 16

// Period returns the period of reports of a fleet with so many shards of each model, given that of a small fleet. A
// scheduler asks up to one owner a shard in each period, so that with 64 shards a short period would take more than half
// of a node's budget of control bytes.
func Period(small time.Duration, shards uint32) time.Duration {
	return small * time.Duration(max(1, shards/periodShards))
}

// OwnerOf returns the router that owns a customer shard of a model, empty if no router is live.
func OwnerOf(view membership.View, model string, shard uint32) string {
	return view.Owner("share|" + model + "|" + strconv.FormatUint(uint64(shard), 10))
}
