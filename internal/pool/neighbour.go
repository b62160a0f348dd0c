package pool

import "github.com/chicorydale/chicorydale/internal/membership"

// neighbour is another pool of the same model that gets this pool's summaries.
type neighbour struct {
	pool string
	host string
	far  bool
}

// neighbours returns the pools that get a pool's summaries: in its own region those at distances 1, 2, 4 and so on
// around the ring of the region's pools, which is all of them while there are few, and two in each other region.
// Summaries to all pools would grow with their square.
func neighbours(view membership.View, pool membership.Pool) []neighbour {
	region := view.PoolRegion(pool)
	rings := make(map[string][]membership.Pool)
	var regions []string
	for _, other := range view.Pools(pool.Model) {
		name := view.PoolRegion(other)
		if rings[name] == nil {
			regions = append(regions, name)
		}
		rings[name] = append(rings[name], other)
	}
	at := 0
	for i, other := range rings[region] {
		if other == pool {
			at = i
		}
	}
	var out []neighbour
	for _, name := range regions {
		for _, other := range chosen(rings[name], at, name == region) {
			if other != pool {
				out = append(out, neighbour{pool: other.String(), host: view.Scheduler(other), far: name != region})
			}
		}
	}
	return out
}

// fewPools is the number of pools of one region up to which all are neighbours.
const fewPools = 8

// chosen returns the neighbours on one ring, seen from a position.
func chosen(ring []membership.Pool, at int, own bool) []membership.Pool {
	if own && len(ring) <= fewPools || len(ring) <= 2 {
		return ring
	}
	if !own {
		return []membership.Pool{ring[at%len(ring)], ring[(at+1)%len(ring)]}
	}
	seen := make(map[int]bool)
	var out []membership.Pool
	for step := 1; step < len(ring); step *= 2 {
		for _, i := range []int{(at + step) % len(ring), (at + len(ring) - step) % len(ring)} {
			if !seen[i] {
				seen[i] = true
				out = append(out, ring[i])
			}
		}
	}
	return out
}
