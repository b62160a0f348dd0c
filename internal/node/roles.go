package node

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// WantedPeers returns the peers that the router needs links to, sorted. The cores send to connected peers only, so the holders
// of the roles that the router depends on are among them before anything is sent.
func (n *Node) WantedPeers(now time.Time) []string {
	if peer, due := n.tracker.NextProbe(now); due {
		n.contacts.keep(peer, now.Add(probeLife))
	}
	for _, holder := range n.holders() {
		n.contacts.keep(holder, now.Add(roleLife))
	}
	return n.contacts.wanted(now, n.View())
}

// holders returns the routers that hold the roles that this one depends on: the schedulers of its home pools, the
// batchers of claims, and what its own scheduler needs.
func (n *Node) holders() []string {
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
	for _, scheduled := range pools {
		targets = append(targets, view.PoolTargets(scheduled)...)
	}
	slices.Sort(targets)
	return targets
}
