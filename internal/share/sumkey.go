package share

import "cmp"

// sumKey names one customer shard of one model.
type sumKey struct {
	model string
	shard uint32
}

// compare orders shard keys.
func (k sumKey) compare(other sumKey) int {
	return cmp.Or(cmp.Compare(k.model, other.model), cmp.Compare(k.shard, other.shard))
}
