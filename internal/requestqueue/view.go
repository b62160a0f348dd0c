package requestqueue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// UpdateView replaces the view of the fleet. Waiting requests move to the current home pool of their model, and each pool with
// calls follows its current scheduler.
func (q *Queue) UpdateView(now time.Time, view membership.View) {
	q.view, q.hasView = view, true
	clear(q.homePools)
	for _, p := range q.sortedPools() {
		q.reassignPool(now, p)
	}
	for _, id := range slices.Sorted(maps.Keys(q.withoutPool)) {
		q.assignHomePool(now, q.withoutPool[id])
	}
}

// reassignPool moves the waiting calls of a pool that is no longer the home pool of its model, and updates the pool's
// scheduler. A former scheduler that has state of this router is sent an empty one with the next tick.
func (q *Queue) reassignPool(now time.Time, p *poolState) {
	if home, found := q.homePool(p.pool.Model); !found || home != p.pool {
		for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
			c := p.waiting[id]
			p.removeWaiting(id)
			q.assignHomePool(now, c)
		}
	}
	scheduler := q.view.Scheduler(p.pool)
	if scheduler == p.scheduler {
		return
	}
	if q.connectedPeers[p.scheduler] && p.synced {
		q.formerSchedulers[schedulerAddress{host: p.scheduler, pool: p.pool.String()}] = struct{}{}
	}
	p.scheduler, p.synced = scheduler, false
}

// homePool returns the home pool of a model and whether there is one. The result is cached until the next view, because
// View.HomePool takes time proportional to the number of pools.
func (q *Queue) homePool(model string) (membership.Pool, bool) {
	cached, ok := q.homePools[model]
	if !ok {
		cached.pool, cached.found = q.view.HomePool(model)
		q.homePools[model] = cached
	}
	return cached.pool, cached.found
}

// sortedPools returns the states of all pools, ordered by model, availability zone and shard.
func (q *Queue) sortedPools() []*poolState {
	return slices.SortedFunc(maps.Values(q.pools), func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(a.pool.Model, b.pool.Model), cmp.Compare(a.pool.Zone, b.pool.Zone),
			cmp.Compare(a.pool.Shard, b.pool.Shard))
	})
}

// Connected records a new session with a peer. The next tick sends it the full state of the pools that it schedules.
func (q *Queue) Connected(_ time.Time, peer string, _ uint64) {
	if peer == q.self {
		return
	}
	q.connectedPeers[peer] = true
	q.requireSync(peer)
}

// Disconnected records the end of a session with a peer, and discards messages that were waiting for it.
func (q *Queue) Disconnected(_ time.Time, peer string) {
	if peer == q.self {
		return
	}
	delete(q.connectedPeers, peer)
	q.requireSync(peer)
	maps.DeleteFunc(q.endsByScheduler, func(to schedulerAddress, _ []*fleetpb.Ended) bool { return to.host == peer })
	maps.DeleteFunc(q.formerSchedulers, func(to schedulerAddress, _ struct{}) bool { return to.host == peer })
}

// requireSync makes the next messages to a scheduler begin with the full state of its pools.
func (q *Queue) requireSync(peer string) {
	for _, p := range q.pools {
		if p.scheduler == peer {
			p.synced = false
		}
	}
}
