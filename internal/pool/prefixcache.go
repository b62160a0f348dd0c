package pool

// maxPrefixes is the largest number of prompt prefixes that are remembered for a pool.
const maxPrefixes = 4096

// prefixCache remembers which target last ran a prompt prefix, because engines keep recent prefixes in a cache. The prefix
// that was added first is evicted first.
type prefixCache struct {
	targets map[uint64]string
	// ring holds the prefixes in the order of insertion, and next is the index to overwrite once it is full.
	ring []uint64
	next int
}

// newPrefixCache returns an empty cache.
func newPrefixCache() *prefixCache { return &prefixCache{targets: make(map[uint64]string)} }

// get returns the target that last ran a prefix, empty if it is not known.
func (p *prefixCache) get(prefix uint64) string { return p.targets[prefix] }

// put stores the target of a prefix and evicts the oldest prefix if the cache is full. The zero prefix is ignored.
func (p *prefixCache) put(prefix uint64, target string) {
	if prefix == 0 {
		return
	}
	if _, known := p.targets[prefix]; !known {
		if len(p.ring) < maxPrefixes {
			p.ring = append(p.ring, prefix)
		} else {
			delete(p.targets, p.ring[p.next])
			p.ring[p.next] = prefix
			p.next = (p.next + 1) % maxPrefixes
		}
	}
	p.targets[prefix] = target
}
