package pool

import "github.com/chicorydale/chicorydale/internal/membership"

// neighbour is another pool of the same model to which a pool sends its summaries.
type neighbour struct {
	pool string
	// host is the router that schedules the pool.
	host string
	// crossRegion is set if the pool is in another region.
	crossRegion bool
}

// neighboursOf returns the pools to which a pool sends its summaries. They are selected for each region among the pools of the
// model there. In a region with up to maxFullMeshPools pools, all are neighbours. In a larger one, the neighbours are two pools,
// or, if it is the pool's own region, those at the distances 1, 2, 4 and so on in both directions around the ring of the
// region's pools. If all pools were neighbours, the number of summaries would grow with the square of the number of pools. A
// pool that gets no summaries does not lend to the sender.
func neighboursOf(view membership.View, pool membership.Pool) []neighbour {
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
	position := 0
	for i, other := range rings[region] {
		if other == pool {
			position = i
		}
	}
	var result []neighbour
	for _, name := range regions {
		for _, other := range selectNeighbours(rings[name], position, name == region) {
			if other != pool {
				result = append(result, neighbour{pool: other.String(), host: view.Scheduler(other), crossRegion: name != region})
			}
		}
	}
	return result
}

// maxFullMeshPools is the largest number of pools of a model in a region for which all of them are neighbours.
const maxFullMeshPools = 8

// selectNeighbours returns the neighbours among the pools of one region for the pool at a position of its own region's ring.
// The result may contain that pool itself.
func selectNeighbours(ring []membership.Pool, position int, ownRegion bool) []membership.Pool {
	if len(ring) <= maxFullMeshPools {
		return ring
	}
	if !ownRegion {
		return []membership.Pool{ring[position%len(ring)], ring[(position+1)%len(ring)]}
	}
	seen := make(map[int]bool)
	var selected []membership.Pool
	for step := 1; step < len(ring); step *= 2 {
		for _, i := range []int{(position + step) % len(ring), (position + len(ring) - step) % len(ring)} {
			if !seen[i] {
				seen[i] = true
				selected = append(selected, ring[i])
			}
		}
	}
	return selected
}
