package accounting

import "cmp"

// shardKey identifies a customer shard of a model.
type shardKey struct {
	model string
	shard uint32
}

// compare orders by model, then by shard.
func (k shardKey) compare(other shardKey) int {
	return cmp.Or(cmp.Compare(k.model, other.model), cmp.Compare(k.shard, other.shard))
}
