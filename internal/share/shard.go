package share

import (
	"strconv"

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

// OwnerOf returns the router that owns a customer shard of a model, empty if no router is live.
func OwnerOf(view membership.View, model string, shard uint32) string {
	return view.Owner("share|" + model + "|" + strconv.FormatUint(uint64(shard), 10))
}
