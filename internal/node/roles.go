package node

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/membership"
)

// Wanted returns the peers that the router needs links to, sorted.
func (n *Node) Wanted(now time.Time) []string {
	if peer, due := n.tracker.Probe(now); due {
		n.contacts[peer] = now.Add(probeLife)
	}
	return n.contacts.wanted(now, n.View())
}

// Scheduled returns the pools that this router schedules, sorted.
func (n *Node) Scheduled() []membership.Pool { return n.View().Scheduled() }

// Polled returns the targets whose load reports this router reads, sorted: those of the pools that it schedules.
func (n *Node) Polled() []string {
	view := n.View()
	pools := n.Scheduled()
	targets := make([]string, 0, len(pools))
	for _, scheduled := range pools {
		targets = append(targets, view.Members(scheduled)...)
	}
	slices.Sort(targets)
	return targets
}
