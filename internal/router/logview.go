package router

import (
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// logView logs how the view of the fleet differs from the one that was seen last; it runs in the tick loop.
func (r *Router) logView(view membership.View) {
	before := r.seen
	r.seen = view
	r.logPeers(before, view)
	r.logRoles(before, view)
	r.logTargets(before, view)
}

// logPeers logs changes of the other routers' states. A router that is seen for the first time counts as up before.
func (r *Router) logPeers(before, view membership.View) {
	for _, peer := range view.Routers() {
		former, known := before.Router(peer.Name)
		if !known {
			former.State = membership.Up
		}
		if peer.Name == r.settings.Host() || peer.State == former.State {
			continue
		}
		switch peer.State {
		case membership.Up:
			event.PeerUp.Log(r.logger, peer.Name)
		case membership.Down:
			event.PeerDown.Log(r.logger, peer.Name)
		case membership.Leaving:
			event.PeerLeaving.Log(r.logger, peer.Name)
		}
	}
}

// logRoles logs the pools that this router began or ceased to schedule.
func (r *Router) logRoles(before, view membership.View) {
	self := r.settings.Host()
	for _, pool := range view.ScheduledPools() {
		if len(before.PoolTargets(pool)) == 0 || before.Scheduler(pool) != self {
			event.RoleGained.Log(r.logger, "pool "+pool.String())
		}
	}
	for _, pool := range before.ScheduledPools() {
		holder := ""
		if len(view.PoolTargets(pool)) > 0 {
			holder = view.Scheduler(pool)
		}
		if holder != self {
			event.RoleLost.Log(r.logger, "pool "+pool.String(), holder)
		}
	}
}

// logTargets logs targets that are new, began to leave or are gone.
func (r *Router) logTargets(before, view membership.View) {
	for _, target := range view.Targets() {
		former, known := before.Target(target.Name)
		if !known {
			pool, _ := view.PoolOf(target.Name)
			event.TargetAdded.Log(r.logger, target.Name, pool.String())
		}
		if target.Leaving && !former.Leaving {
			event.TargetLeaving.Log(r.logger, target.Name)
		}
	}
	for _, target := range before.Targets() {
		if _, listed := view.Target(target.Name); !listed {
			event.TargetGone.Log(r.logger, target.Name)
		}
	}
}
