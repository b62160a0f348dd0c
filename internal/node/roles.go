package node

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// WantedPeers returns the peers to which this router needs links, sorted. It includes the holders of the roles on which the
// router depends before anything is sent to them, because the cores send messages only to connected peers.
func (n *Node) WantedPeers(now time.Time) []string {
	if peer, due := n.tracker.NextProbe(now); due {
		n.linkExpiries.extend(peer, now.Add(probeLinkTTL))
	}
	for _, holder := range n.roleHolders() {
		n.linkExpiries.extend(holder, now.Add(roleLinkTTL))
	}
	return n.linkExpiries.wantedPeers(now, n.View())
}

// roleHolders returns the routers that hold the roles on which this router depends: the schedulers of its home pools, the
// batchers of claims, and the routers to which its own scheduler sends messages. Names may be repeated or empty.
func (n *Node) roleHolders() []string {
	view := n.View()
	holders := n.scheduler.Contacts()
	for _, model := range view.Models() {
		if home, found := view.HomePool(model); found {
			holders = append(holders, view.Scheduler(home))
		}
	}
	for shard := range claim.ShardCount {
		holders = append(holders, view.Owner(claim.BatcherRole(shard)))
	}
	return holders
}

// ScheduledPools returns the pools that this router schedules, sorted.
func (n *Node) ScheduledPools() []membership.Pool { return n.View().ScheduledPools() }

// PolledTargets returns the targets whose load reports this router reads, sorted: those of the pools that it schedules.
func (n *Node) PolledTargets() []string {
	view := n.View()
	pools := n.ScheduledPools()
	targets := make([]string, 0, len(pools))
	for _, pool := range pools {
		targets = append(targets, view.PoolTargets(pool)...)
	}
	slices.Sort(targets)
	return targets
}
