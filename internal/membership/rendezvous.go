package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// candidate is a router that can be assigned roles, with the hash of its name.
type candidate struct {
	name string
	hash uint64
}

// chooseRouter returns the name of the candidate with the highest rendezvous weight for the hash of a key, or the empty string
// if there are no candidates. Ties go to the first candidate.
func chooseRouter(candidates []candidate, keyHash uint64) string {
	owner := ""
	var best uint64
	for _, candidate := range candidates {
		if weight := rendezvous.Weight(candidate.hash, keyHash); owner == "" || weight > best {
			owner, best = candidate.name, weight
		}
	}
	return owner
}

// chooseShard returns the shard with the highest rendezvous weight for a name among the shards numbered from zero to shards-1.
func chooseShard(name string, shards int) int {
	hash := xxhash.Sum64String(name)
	choice := 0
	var best uint64
	for shard := range shards {
		if weight := rendezvous.Weight(hash, uint64(shard)+1); shard == 0 || weight > best {
			choice, best = shard, weight
		}
	}
	return choice
}
