package membership

import "github.com/cespare/xxhash/v2"

// candidate is a router that may hold roles, with the hash of its name.
type candidate struct {
	name string
	hash uint64
}

// mix joins two hashes into one weight (the finaliser of SplitMix64). Names are hashed once, so that a choice among
// 1,000 routers costs microseconds.
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// choose returns the candidate with the highest weight for a key hash, or the empty string if there is none. Of two
// with the same weight it is the first.
func choose(candidates []candidate, key uint64) string {
	owner := ""
	var best uint64
	for _, candidate := range candidates {
		if weight := mix(candidate.hash, key); owner == "" || weight > best {
			owner, best = candidate.name, weight
		}
	}
	return owner
}

// chooseShard returns the rendezvous choice of a name among numbered shards.
func chooseShard(name string, shards int) int {
	hash := xxhash.Sum64String(name)
	choice := 0
	var best uint64
	for shard := range shards {
		if weight := mix(hash, uint64(shard)+1); shard == 0 || weight > best {
			choice, best = shard, weight
		}
	}
	return choice
}
