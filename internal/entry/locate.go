package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// UpdateView takes over a new view: waiting requests move to their home pools, and lanes to their pools' schedulers.
func (q *Queue) UpdateView(now time.Time, view membership.View) {
	q.view, q.located = view, true
	clear(q.homes)
	for _, l := range q.sortedLanes() {
		q.relocate(now, l)
	}
	for _, id := range slices.Sorted(maps.Keys(q.stranded)) {
		q.place(now, q.stranded[id])
	}
}

// relocate moves a lane's waiting calls if their home pool is another one, and the lane to its scheduler.
func (q *Queue) relocate(now time.Time, l *lane) {
	if home, found := q.home(l.pool.Model); !found || home != l.pool {
		for _, id := range slices.Sorted(maps.Keys(l.waiting)) {
			c := l.waiting[id]
			l.leave(id)
			q.place(now, c)
		}
	}
	scheduler := q.view.Scheduler(l.pool)
	if scheduler == l.scheduler {
		return
	}
	if q.connected[l.scheduler] && l.synced {
		q.farewells[address{host: l.scheduler, pool: l.pool.String()}] = struct{}{}
	}
	l.scheduler, l.synced = scheduler, false
}

// home returns the home pool of a model. It is kept until the next view, because finding it takes time in proportion to
// the number of pools.
func (q *Queue) home(model string) (membership.Pool, bool) {
	known, ok := q.homes[model]
	if !ok {
		known.pool, known.found = q.view.HomePool(model)
		q.homes[model] = known
	}
	return known.pool, known.found
}

// sortedLanes returns the lanes in the order of their pools.
func (q *Queue) sortedLanes() []*lane {
	return slices.SortedFunc(maps.Values(q.lanes), func(a, b *lane) int {
		return cmp.Or(cmp.Compare(a.pool.Model, b.pool.Model), cmp.Compare(a.pool.Zone, b.pool.Zone),
			cmp.Compare(a.pool.Shard, b.pool.Shard))
	})
}

// Connected notes a new session: the peer is sent the full state.
func (q *Queue) Connected(_ time.Time, peer string, _ uint64) {
	if peer == q.self {
		return
	}
	q.connected[peer] = true
	q.reset(peer)
}

// Disconnected notes the end of a session.
func (q *Queue) Disconnected(_ time.Time, peer string) {
	if peer == q.self {
		return
	}
	delete(q.connected, peer)
	q.reset(peer)
	maps.DeleteFunc(q.finishes, func(to address, _ []*fleetpb.Ended) bool { return to.host == peer })
	maps.DeleteFunc(q.farewells, func(to address, _ struct{}) bool { return to.host == peer })
}

// reset makes the lanes of a scheduler announce their full state in the next session.
func (q *Queue) reset(peer string) {
	for _, l := range q.lanes {
		if l.scheduler == peer {
			l.synced = false
		}
	}
}
