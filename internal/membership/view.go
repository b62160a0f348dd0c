package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// minTargetsPerShard is the least average number of targets in the shards of a model in an availability zone.
const minTargetsPerShard = 4

// View is an immutable snapshot of the fleet as one router sees it. NewView computes pools, home pools and schedulers once, so
// that they are cheap to look up for each request. A View is safe for concurrent use.
type View struct {
	self string
	// routers and targets are sorted by name.
	routers []Router
	targets []Target
	// targetIndex maps the names of targets to their index in targets.
	targetIndex map[string]int
	// poolTargets maps pools to the sorted names of their targets.
	poolTargets map[Pool][]string
	// poolOf maps the names of targets to their pools.
	poolOf map[string]Pool
	models []string
	// poolsByModel and homePools are keyed by the name of a model.
	poolsByModel map[string][]Pool
	homePools    map[string]Pool
	// liveRouters holds the routers that are up, and liveByZone the same by availability zone.
	liveRouters []candidate
	liveByZone  map[string][]candidate
	// schedulers maps pools to the names of their schedulers.
	schedulers map[Pool]string
	// scheduledPools holds the pools that self schedules.
	scheduledPools []Pool
}

// NewView returns the view of the router self. It takes ownership of the slices and sorts them by name.
func NewView(self string, routers []Router, targets []Target) View {
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	view := View{
		self:         self,
		routers:      routers,
		targets:      targets,
		targetIndex:  make(map[string]int, len(targets)),
		poolTargets:  make(map[Pool][]string),
		poolOf:       make(map[string]Pool, len(targets)),
		poolsByModel: make(map[string][]Pool),
		homePools:    make(map[string]Pool),
		liveByZone:   make(map[string][]candidate),
		schedulers:   make(map[Pool]string),
	}
	for i, target := range targets {
		view.targetIndex[target.Name] = i
	}
	view.assignPools()
	for pool := range view.poolTargets {
		view.poolsByModel[pool.Model] = append(view.poolsByModel[pool.Model], pool)
	}
	view.models = slices.Sorted(maps.Keys(view.poolsByModel))
	for _, router := range routers {
		if router.State == Up {
			entry := candidate{name: router.Name, hash: xxhash.Sum64String(router.Name)}
			view.liveRouters = append(view.liveRouters, entry)
			view.liveByZone[router.Zone] = append(view.liveByZone[router.Zone], entry)
		}
	}
	for _, model := range view.models {
		slices.SortFunc(view.poolsByModel[model], comparePools)
		view.homePools[model] = view.computeHomePool(model)
		for _, pool := range view.poolsByModel[model] {
			view.schedulers[pool] = view.computeScheduler(pool)
			if view.schedulers[pool] == self {
				view.scheduledPools = append(view.scheduledPools, pool)
			}
		}
	}
	return view
}

// assignPools assigns each target to a pool. The targets of a model in an availability zone are split into shards by rendezvous
// hashing of their names. There are as many shards as minTargetsPerShard allows, but at most the number of routers in the zone
// divided by the number of models in the fleet, and at least one.
func (v View) assignPools() {
	targetCounts := make(map[Pool]int)
	models := make(map[string]bool)
	for _, target := range v.targets {
		targetCounts[Pool{Zone: target.Zone, Model: target.Model}]++
		models[target.Model] = true
	}
	routersInZone := make(map[string]int)
	for _, router := range v.routers {
		routersInZone[router.Zone]++
	}
	for _, target := range v.targets {
		pool := Pool{Zone: target.Zone, Model: target.Model}
		shards := max(1, min(targetCounts[pool]/minTargetsPerShard, routersInZone[target.Zone]/len(models)))
		pool.Shard = chooseShard(target.Name, shards)
		v.poolTargets[pool] = append(v.poolTargets[pool], target.Name)
		v.poolOf[target.Name] = pool
	}
}

// Self returns the router that the view belongs to, or a zero Router if the view does not hold it.
func (v View) Self() Router {
	router, _ := v.Router(v.self)
	return router
}

// Router returns the router with the given name, and whether there is one.
func (v View) Router(name string) (Router, bool) {
	i, found := slices.BinarySearchFunc(v.routers, name, func(r Router, n string) int { return cmp.Compare(r.Name, n) })
	if !found {
		return Router{}, false
	}
	return v.routers[i], true
}

// Routers returns all routers, sorted by name. The caller must not change the slice.
func (v View) Routers() []Router { return v.routers }

// Targets returns all targets, sorted by name. The caller must not change the slice.
func (v View) Targets() []Target { return v.targets }

// Target returns the target with the given name, and whether there is one.
func (v View) Target(name string) (Target, bool) {
	i, found := v.targetIndex[name]
	if !found {
		return Target{}, false
	}
	return v.targets[i], true
}

// Pools returns the pools of a model, sorted by availability zone and shard. The caller must not change the slice.
func (v View) Pools(model string) []Pool { return v.poolsByModel[model] }

// PoolTargets returns the sorted names of the targets in a pool. The caller must not change the slice.
func (v View) PoolTargets(pool Pool) []string { return v.poolTargets[pool] }

// PoolOf returns the pool of the target with the given name, and whether there is such a target.
func (v View) PoolOf(target string) (Pool, bool) {
	pool, found := v.poolOf[target]
	return pool, found
}

// Models returns the sorted names of all models and plain services that have a target. The caller must not change the slice.
func (v View) Models() []string { return v.models }

// HomePool returns the pool to which this router announces its waiting requests for a model, and whether the model has a pool.
// It is chosen by rendezvous hashing among the pools of the router's availability zone, or else of its region, or else of the
// fleet.
func (v View) HomePool(model string) (Pool, bool) {
	pool, found := v.homePools[model]
	return pool, found
}

// computeHomePool computes the home pool of a model that has a pool; see HomePool.
func (v View) computeHomePool(model string) Pool {
	self, hash := v.Self(), xxhash.Sum64String(v.self)
	var home Pool
	var best uint64
	bestRank := -1
	for _, pool := range v.poolsByModel[model] {
		rank := v.localityRank(self, pool)
		weight := rendezvous.Weight(hash, xxhash.Sum64String(pool.String()))
		if rank > bestRank || rank == bestRank && weight > best {
			home, best, bestRank = pool, weight, rank
		}
	}
	return home
}

// localityRank returns 2 for a pool in the availability zone of self, 1 for one in its region, and 0 for others.
func (v View) localityRank(self Router, pool Pool) int {
	if pool.Zone == self.Zone {
		return 2
	}
	if v.PoolRegion(pool) == self.Region {
		return 1
	}
	return 0
}

// PoolRegion returns the region of a pool's targets, or the empty string if the pool has none.
func (v View) PoolRegion(pool Pool) string {
	names := v.poolTargets[pool]
	if len(names) == 0 {
		return ""
	}
	target, _ := v.Target(names[0])
	return target.Region
}

// Scheduler returns the name of the router that schedules a pool. It is chosen by rendezvous hashing among the live routers of
// the pool's availability zone, or among all live routers if the zone has none. The name is empty if no router is live.
func (v View) Scheduler(pool Pool) string {
	if scheduler, known := v.schedulers[pool]; known {
		return scheduler
	}
	return v.computeScheduler(pool)
}

// computeScheduler computes the scheduler of a pool; see Scheduler.
func (v View) computeScheduler(pool Pool) string {
	key := "pool|" + pool.String()
	if owner := chooseRouter(v.liveByZone[pool.Zone], xxhash.Sum64String(key)); owner != "" {
		return owner
	}
	return v.Owner(key)
}

// Owner returns the name of the router chosen by rendezvous hashing for a key among all live routers, or the empty string if no
// router is live.
func (v View) Owner(key string) string { return chooseRouter(v.liveRouters, xxhash.Sum64String(key)) }

// ScheduledPools returns the pools that this router schedules, sorted by model, availability zone and shard. The caller must not
// change the slice.
func (v View) ScheduledPools() []Pool { return v.scheduledPools }

// RegionPeers returns the sorted names of the other routers in this router's region, whatever their state.
func (v View) RegionPeers() []string {
	var names []string
	region := v.Self().Region
	for _, router := range v.routers {
		if router.Name != v.self && router.Region == region {
			names = append(names, router.Name)
		}
	}
	return names
}

// Peers returns the sorted names of all other routers, whatever their state.
func (v View) Peers() []string {
	names := make([]string, 0, len(v.routers))
	for _, router := range v.routers {
		if router.Name != v.self {
			names = append(names, router.Name)
		}
	}
	return names
}

// CountRouters returns the number of live routers and the number of listed routers in an availability zone. Both exclude routers
// that are leaving.
func (v View) CountRouters(zone string) (live, listed int) {
	for _, router := range v.routers {
		if router.Zone != zone || router.State == Leaving {
			continue
		}
		listed++
		if router.State == Up {
			live++
		}
	}
	return live, listed
}

// comparePools orders pools by availability zone, then model, then shard.
func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Shard, b.Shard))
}
