package dispatch

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// groupUsePeriod is the time between reports to another group of what customers use and ask for in this one.
	groupUsePeriod = 500 * time.Millisecond
	// maxReportedCustomers is the number of customers of each service in such a report.
	maxReportedCustomers = 64
)

// dueGroupUse returns the report to the relays of other groups, nil if it is not due. Reports are sums and not changes, so that it does not
// matter whether a group hears them once, several times or, after a loss, through another relay.
func (d *Dispatcher) dueGroupUse(now time.Time) []*fleetpb.GroupUse {
	if now.Before(d.nextGroupUseAt) {
		return nil
	}
	d.nextGroupUseAt = now.Add(groupUsePeriod)
	sums := slices.DeleteFunc(d.accounts.groupSums(now, maxReportedCustomers), func(sum *fleetpb.CustomerSum) bool {
		return !d.isReported(sum.GetCustomer())
	})
	if len(sums) == 0 {
		return nil
	}
	return []*fleetpb.GroupUse{{Group: hashName(d.ownGroup()), Customers: sums, Lines: d.groupLines(now)}}
}

// groupLines returns one line for each service for which requests wait in this group.
func (d *Dispatcher) groupLines(now time.Time) []*fleetpb.Line {
	var lines []*fleetpb.Line
	for _, s := range d.services {
		if waiting := s.queue.length + d.countWaitingAtPeers(now, s); waiting > 0 {
			lines = append(lines, &fleetpb.Line{Service: s.nameHash, Waiting: uint32(waiting)})
		}
	}
	return lines
}

// waitsInOtherGroup reports whether requests for a service wait in another group by its recent report.
func (d *Dispatcher) waitsInOtherGroup(now time.Time, s *service) bool {
	for _, waiting := range d.groupWaiting {
		if now.Before(waiting.until) && waiting.services[s.nameHash] {
			return true
		}
	}
	return false
}

// groupWaiting holds the services, by hash, for which requests wait in another group of routers, until the next report is overdue.
type groupWaiting struct {
	services map[uint32]bool
	until    time.Time
}

// newGroupWaiting returns what a report says about waiting requests.
func newGroupWaiting(use *fleetpb.GroupUse, until time.Time) groupWaiting {
	waiting := groupWaiting{services: make(map[uint32]bool), until: until}
	for _, line := range use.GetLines() {
		waiting.services[line.GetService()] = line.GetWaiting() > 0
	}
	return waiting
}

// receiveGroupUse takes what customers use and ask for, and for which services requests wait, in other groups.
func (d *Dispatcher) receiveGroupUse(now time.Time, groups []*fleetpb.GroupUse) {
	if len(groups) == 0 {
		return
	}
	near, _ := d.messagePeriods()
	holdUntil := now.Add(groupUsePeriod + near)
	own := hashName(d.ownGroup())
	for _, use := range groups {
		if use.GetGroup() == own {
			continue
		}
		d.groupWaiting[use.GetGroup()] = newGroupWaiting(use, holdUntil)
		for _, sum := range use.GetCustomers() {
			d.accounts.setRemote(now, holdUntil, use.GetGroup(), sum)
		}
	}
}

// passOnGroupUse queues the report of a relay of another group for the peers of this one. It replaces the relay's previous one.
func (d *Dispatcher) passOnGroupUse(from string, groups []*fleetpb.GroupUse) {
	for _, use := range groups {
		for _, p := range d.peers {
			p.unreportedGroups[from] = use
		}
	}
}
