package router

import (
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// logView logs how a view of the fleet differs from the last one that was logged. It runs in the tick loop.
func (r *Router) logView(view membership.View) {
	previous := r.loggedView
	r.loggedView = view
	r.logPeers(previous, view)
	r.logRoles(previous, view)
	r.logTargets(previous, view)
}

// logPeers logs the state changes of the other routers. A router that is listed for the first time is logged only if it is
// not up.
func (r *Router) logPeers(previous, view membership.View) {
	for _, peer := range view.Routers() {
		former, known := previous.Router(peer.Name)
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

// logRoles logs the pools that this router has begun or stopped to schedule.
func (r *Router) logRoles(previous, view membership.View) {
	self := r.settings.Host()
	for _, pool := range view.ScheduledPools() {
		if len(previous.PoolTargets(pool)) == 0 || previous.Scheduler(pool) != self {
			event.RoleGained.Log(r.logger, "pool "+pool.String())
		}
	}
	for _, pool := range previous.ScheduledPools() {
		holder := ""
		if len(view.PoolTargets(pool)) > 0 {
			holder = view.Scheduler(pool)
		}
		if holder != self {
			event.RoleLost.Log(r.logger, "pool "+pool.String(), holder)
		}
	}
}

// logTargets logs targets that were added, have begun to leave or were removed.
func (r *Router) logTargets(previous, view membership.View) {
	for _, target := range view.Targets() {
		former, known := previous.Target(target.Name)
		if !known {
			pool, _ := view.PoolOf(target.Name)
			event.TargetAdded.Log(r.logger, target.Name, pool.String())
		}
		if target.Leaving && !former.Leaving {
			event.TargetLeaving.Log(r.logger, target.Name)
		}
	}
	for _, target := range previous.Targets() {
		if _, listed := view.Target(target.Name); !listed {
			event.TargetGone.Log(r.logger, target.Name)
		}
	}
}
