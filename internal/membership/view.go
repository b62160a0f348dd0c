package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

// targetsPerShard is the least number of targets for which a pool is split into shards.
const targetsPerShard = 4

// View is an immutable picture of the fleet as one router sees it. Pools, homes and schedulers are computed once, by
// NewView, so that they can be asked for with each request.
type View struct {
	self       string
	routers    []Router
	targets    []Target
	byName     map[string]int
	pools      map[Pool][]string
	poolOf     map[string]Pool
	models     []string
	byModel    map[string][]Pool
	homes      map[string]Pool
	live       []candidate
	inZone     map[string][]candidate
	schedulers map[Pool]string
	scheduled  []Pool
}

// NewView returns the view of the router self. It takes over the slices, which are sorted by name.
func NewView(self string, routers []Router, targets []Target) View {
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	view := View{
		self:       self,
		routers:    routers,
		targets:    targets,
		byName:     make(map[string]int, len(targets)),
		pools:      make(map[Pool][]string),
		poolOf:     make(map[string]Pool, len(targets)),
		byModel:    make(map[string][]Pool),
		homes:      make(map[string]Pool),
		inZone:     make(map[string][]candidate),
		schedulers: make(map[Pool]string),
	}
	for i, target := range targets {
		view.byName[target.Name] = i
	}
	view.assign()
	for pool := range view.pools {
		view.byModel[pool.Model] = append(view.byModel[pool.Model], pool)
	}
	view.models = slices.Sorted(maps.Keys(view.byModel))
	for _, router := range routers {
		if router.State == Up {
			entry := candidate{name: router.Name, hash: xxhash.Sum64String(router.Name)}
			view.live = append(view.live, entry)
			view.inZone[router.Zone] = append(view.inZone[router.Zone], entry)
		}
	}
	for _, model := range view.models {
		slices.SortFunc(view.byModel[model], comparePools)
		view.homes[model] = view.home(model)
		for _, pool := range view.byModel[model] {
			view.schedulers[pool] = view.scheduler(pool)
			if view.schedulers[pool] == self {
				view.scheduled = append(view.scheduled, pool)
			}
		}
	}
	return view
}

// assign puts each target into the pool of its shard.
func (v View) assign() {
	counts := make(map[Pool]int)
	models := make(map[string]bool)
	for _, target := range v.targets {
		counts[Pool{Zone: target.Zone, Model: target.Model}]++
		models[target.Model] = true
	}
	inZone := make(map[string]int)
	for _, router := range v.routers {
		inZone[router.Zone]++
	}
	for _, target := range v.targets {
		pool := Pool{Zone: target.Zone, Model: target.Model}
		shards := max(1, min(counts[pool]/targetsPerShard, inZone[target.Zone]/len(models)))
		pool.Shard = chooseShard(target.Name, shards)
		v.pools[pool] = append(v.pools[pool], target.Name)
		v.poolOf[target.Name] = pool
	}
}

// Self returns the router that the view belongs to.
func (v View) Self() Router {
	router, _ := v.Router(v.self)
	return router
}

// Router returns a router by name.
func (v View) Router(name string) (Router, bool) {
	i, found := slices.BinarySearchFunc(v.routers, name, func(r Router, n string) int { return cmp.Compare(r.Name, n) })
	if !found {
		return Router{}, false
	}
	return v.routers[i], true
}

// Routers returns all listed routers, sorted by name; the caller must not change the slice.
func (v View) Routers() []Router { return v.routers }

// Targets returns all targets, sorted by name; the caller must not change the slice.
func (v View) Targets() []Target { return v.targets }

// Target returns a target by name.
func (v View) Target(name string) (Target, bool) {
	i, found := v.byName[name]
	if !found {
		return Target{}, false
	}
	return v.targets[i], true
}

// Pools returns the pools of a model, sorted by name; the caller must not change the slice.
func (v View) Pools(model string) []Pool { return v.byModel[model] }

// PoolTargets returns the names of the targets in a pool, sorted; the caller must not change the slice.
func (v View) PoolTargets(pool Pool) []string { return v.pools[pool] }

// PoolOf returns the pool of a target.
func (v View) PoolOf(target string) (Pool, bool) {
	pool, found := v.poolOf[target]
	return pool, found
}

// Models returns the names of all models and services that have a target, sorted; the caller must not change the
// slice.
func (v View) Models() []string { return v.models }

// HomePool returns the pool to which this router announces its demand for a model: its rendezvous choice among the shards
// of its own availability zone, else of its region, else of any.
func (v View) HomePool(model string) (Pool, bool) {
	pool, found := v.homes[model]
	return pool, found
}

// home computes what Home returns.
func (v View) home(model string) Pool {
	self, hash := v.Self(), xxhash.Sum64String(v.self)
	var home Pool
	var best uint64
	bestRank := -1
	for _, pool := range v.byModel[model] {
		rank := v.nearness(self, pool)
		weight := rendezvous.Weight(hash, xxhash.Sum64String(pool.String()))
		if rank > bestRank || rank == bestRank && weight > best {
			home, best, bestRank = pool, weight, rank
		}
	}
	return home
}

// nearness ranks a pool: 2 in the router's availability zone, 1 in its region, 0 elsewhere.
func (v View) nearness(self Router, pool Pool) int {
	if pool.Zone == self.Zone {
		return 2
	}
	if v.PoolRegion(pool) == self.Region {
		return 1
	}
	return 0
}

// PoolRegion returns the region of a pool's targets.
func (v View) PoolRegion(pool Pool) string {
	members := v.pools[pool]
	if len(members) == 0 {
		return ""
	}
	target, _ := v.Target(members[0])
	return target.Region
}

// Scheduler returns the router that schedules a pool: the rendezvous choice among the live routers of its availability
// zone, or among all live routers if there are none.
func (v View) Scheduler(pool Pool) string {
	if scheduler, known := v.schedulers[pool]; known {
		return scheduler
	}
	return v.scheduler(pool)
}

// scheduler computes what Scheduler returns.
func (v View) scheduler(pool Pool) string {
	key := "pool|" + pool.String()
	if owner := choose(v.inZone[pool.Zone], xxhash.Sum64String(key)); owner != "" {
		return owner
	}
	return v.Owner(key)
}

// Owner returns the rendezvous choice for a key among all live routers.
func (v View) Owner(key string) string { return choose(v.live, xxhash.Sum64String(key)) }

// ScheduledPools returns the pools that this router schedules, by model and name; the caller must not change the slice.
func (v View) ScheduledPools() []Pool { return v.scheduled }

// RegionPeers returns the names of the other listed routers of this router's region, sorted.
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

// Peers returns the names of all other listed routers, sorted.
func (v View) Peers() []string {
	names := make([]string, 0, len(v.routers))
	for _, router := range v.routers {
		if router.Name != v.self {
			names = append(names, router.Name)
		}
	}
	return names
}

// CountRouters returns how many of the listed routers of an availability zone are live, and how many are listed, without
// leaving ones.
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

// comparePools orders pools by availability zone, model and shard.
func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Shard, b.Shard))
}
