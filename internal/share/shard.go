package share

import (
	"strconv"

	"github.com/chicorydale/chicorydale/internal/membership"
)

// Shards is the number of customer shards of each model. With 8 models it gives 512 owners, so that at 1,000 routers
// no owner answers a large part of all schedulers.
const Shards = 64

// ShardOf returns the shard of a customer.
func ShardOf(customer uint32) uint32 { return customer % Shards }

// OwnerOf returns the router that owns a customer shard of a model, empty if no router is live.
func OwnerOf(view membership.View, model string, shard uint32) string {
	return view.Owner("share|" + model + "|" + strconv.FormatUint(uint64(shard), 10))
}
