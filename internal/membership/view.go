package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// targetsPerShard is the least number of targets for which a pool is split into shards.
const targetsPerShard = 4

// View is an immutable picture of the fleet as one router sees it.
type View struct {
	self    string
	routers []Router
	targets []Target
	byName  map[string]int
	pools   map[Pool][]string
	poolOf  map[string]Pool
}

// NewView returns the view of the router self. It takes over the slices, which are sorted by name.
func NewView(self string, routers []Router, targets []Target) View {
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	view := View{
		self:    self,
		routers: routers,
		targets: targets,
		byName:  make(map[string]int, len(targets)),
		pools:   make(map[Pool][]string),
		poolOf:  make(map[string]Pool, len(targets)),
	}
	for i, target := range targets {
		view.byName[target.Name] = i
	}
	view.assign()
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
		pool.Shard = rendezvousShard(target.Name, shards)
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

// Pools returns the pools of a model, sorted by name.
func (v View) Pools(model string) []Pool {
	var pools []Pool
	for pool := range v.pools {
		if pool.Model == model {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, comparePools)
	return pools
}

// Members returns the names of the targets in a pool, sorted; the caller must not change the slice.
func (v View) Members(pool Pool) []string { return v.pools[pool] }

// PoolOf returns the pool of a target.
func (v View) PoolOf(target string) (Pool, bool) {
	pool, found := v.poolOf[target]
	return pool, found
}

// Models returns the names of all models and services that have a target, sorted.
func (v View) Models() []string {
	models := make(map[string]bool)
	for pool := range v.pools {
		models[pool.Model] = true
	}
	return slices.Sorted(maps.Keys(models))
}

// Home returns the pool to which this router announces its demand for a model: its rendezvous choice among the shards
// of its own availability zone, else of its region, else of any.
func (v View) Home(model string) (Pool, bool) {
	self := v.Self()
	var home Pool
	var best uint64
	bestRank := -1
	for _, pool := range v.Pools(model) {
		rank := v.nearness(self, pool)
		weight := xxhash.Sum64String(v.self + "|" + pool.String())
		if rank > bestRank || rank == bestRank && weight > best {
			home, best, bestRank = pool, weight, rank
		}
	}
	return home, bestRank >= 0
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
	inZone := func(r Router) bool { return r.Zone == pool.Zone }
	if owner := v.choose("pool|"+pool.String(), inZone); owner != "" {
		return owner
	}
	return v.Owner("pool|" + pool.String())
}

// Owner returns the rendezvous choice for a key among all live routers.
func (v View) Owner(key string) string {
	return v.choose(key, func(Router) bool { return true })
}

// choose returns the live router with the highest hash for the key among those that match.
func (v View) choose(key string, match func(Router) bool) string {
	owner := ""
	var best uint64
	for _, router := range v.routers {
		if router.State != Up || !match(router) {
			continue
		}
		weight := xxhash.Sum64String(router.Name + "|" + key)
		if owner == "" || weight > best {
			owner, best = router.Name, weight
		}
	}
	return owner
}

// Heard returns how many of the listed routers of an availability zone are live, and how many are listed, without
// leaving ones.
func (v View) Heard(zone string) (live, listed int) {
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

// rendezvousShard returns the rendezvous choice of a name among numbered shards.
func rendezvousShard(name string, shards int) int {
	choice := 0
	var best uint64
	for shard := range shards {
		weight := xxhash.Sum64String(name + "|" + strconv.Itoa(shard))
		if shard == 0 || weight > best {
			choice, best = shard, weight
		}
	}
	return choice
}

// comparePools orders pools by availability zone, model and shard.
func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Shard, b.Shard))
}
