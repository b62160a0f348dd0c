package pool

// prefixLimit bounds the remembered prompt prefixes of a pool.
const prefixLimit = 4096

// prefixes remembers which target ran a prompt prefix last, since engines keep prefixes in a limited cache.
type prefixes struct {
	targets map[uint64]string
	ring    []uint64
	next    int
}

// newPrefixes returns an empty memory.
func newPrefixes() *prefixes { return &prefixes{targets: make(map[uint64]string)} }

// get returns the target that ran a prefix last, empty if it is not known.
func (p *prefixes) get(prefix uint64) string { return p.targets[prefix] }

// put remembers a prefix in place of the oldest one.
func (p *prefixes) put(prefix uint64, target string) {
	if prefix == 0 {
		return
	}
	if _, known := p.targets[prefix]; !known {
		if len(p.ring) < prefixLimit {
			p.ring = append(p.ring, prefix)
		} else {
			delete(p.targets, p.ring[p.next])
			p.ring[p.next] = prefix
			p.next = (p.next + 1) % prefixLimit
		}
	}
	p.targets[prefix] = target
}
