package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// nearPeriod and farPeriod are the minimum times between messages to a peer in the same region and in another one. Traffic
	// between regions is billed. Each peer beyond nearPeersAtFullRate or farPeersAtFullRate adds nearPeriodStep or
	// farPeriodStep to the period, so that messages do not use up the CPU of a large fleet.
	nearPeriod          = 25 * time.Millisecond
	farPeriod           = 120 * time.Millisecond
	nearPeersAtFullRate = 6
	farPeersAtFullRate  = 10
	nearPeriodStep      = 4 * time.Millisecond
	farPeriodStep       = 12 * time.Millisecond
	// reannounceInterval is the time after which the use of a part at a target is announced again.
	reannounceInterval = 4 * time.Second
	// speedReportPeriod is the time between reports of the read speed while no request waits.
	speedReportPeriod = time.Second
	// averageSpeedsPeriod is the minimum time between averages of the read speeds that peers report.
	averageSpeedsPeriod = 250 * time.Millisecond
	// announcementPruneLimit is the number of recorded announcements from which expired ones are removed.
	announcementPruneLimit = 4096
	// queueReportSlack is how much longer than two periods of messages a peer's report on its waiting requests counts.
	queueReportSlack = 200 * time.Millisecond
)

// Peer describes another router that dispatches to the same targets.
type Peer struct {
	// Name identifies the router.
	Name string
	// Region is the region of the router, Zone its availability zone.
	Region, Zone string
}

// queueReport is the content of a fleetpb.Line, a peer's report on one service: its waiting requests and the read speed of the
// targets in tokens per second.
type queueReport struct {
	waiting    int
	readSpeed  float64
	receivedAt time.Time
}

// usageDelta is the change of a customer's usage and demand at a service since the last message to a peer.
type usageDelta struct {
	serviceHash   uint32
	usage, demand float64
}

// plus returns the delta with more usage and demand. All deltas of one customer key are of the same service.
func (d usageDelta) plus(serviceHash uint32, usage, demand float64) usageDelta {
	return usageDelta{serviceHash: serviceHash, usage: d.usage + usage, demand: d.demand + demand}
}

// announcementKey identifies a prompt part at a target.
type announcementKey struct {
	targetHash uint32
	partID     uint64
}

// peer is the state of the session with a connected router.
type peer struct {
	Peer
	// near is set if the peer is in this router's region.
	near bool
	// nextMessageAt is the earliest time of the next message.
	nextMessageAt time.Time
	// reportedRuns is the number of this router's runs at each target, by target hash, as last sent to the peer. runs is the
	// number of the peer's runs, as last received from it.
	reportedRuns map[uint32]uint32
	runs         map[uint32]uint32
	// changedTargets are the hashes of the targets whose figures may have changed since the last message.
	changedTargets map[uint32]struct{}
	// unreportedTokens are the tokens assigned to each target since the last message, unreportedStarts the requests assigned to each
	// target with a rate limit.
	unreportedTokens map[uint32]uint32
	unreportedStarts map[uint32]uint32
	// unreportedLimits are the rate limits of targets, by target hash, to send with the next message.
	unreportedLimits map[uint32]float64
	// unreportedLeft are the starts of targets that leave, by target hash, to send with the next message.
	unreportedLeft map[uint32]int64
	// unreportedReadings and unreportedUsage are sent with the next message. unreportedUsage is by customer key.
	unreportedReadings []*fleetpb.Reading
	unreportedUsage    map[uint32]usageDelta
	// unreportedGroups are reports of other groups, by the relay that sent them, to pass on with the next message.
	unreportedGroups map[string]*fleetpb.GroupUse
	// queueReports are the peer's last reports by service hash. reportedWaiting holds the services, by hash, for which the
	// last line sent to the peer had waiting requests.
	queueReports    map[uint32]queueReport
	reportedWaiting map[uint32]bool
	// lastLinesAt is the time of the last message with lines.
	lastLinesAt time.Time
}

// newPeer returns the state of a new session, in which nothing has been sent or received.
func newPeer(remote Peer, own Locality) *peer {
	return &peer{
		Peer: remote, near: remote.Region == own.Region,
		changedTargets: make(map[uint32]struct{}),
		reportedRuns:   make(map[uint32]uint32), runs: make(map[uint32]uint32),
		unreportedTokens: make(map[uint32]uint32), unreportedStarts: make(map[uint32]uint32),
		unreportedLimits: make(map[uint32]float64), unreportedLeft: make(map[uint32]int64), unreportedUsage: make(map[uint32]usageDelta),
		unreportedGroups: make(map[string]*fleetpb.GroupUse),
		queueReports:     make(map[uint32]queueReport), reportedWaiting: make(map[uint32]bool),
	}
}

// hashName returns the hash by which messages to peers identify a name.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// hasNews reports whether anything may have changed since the last message.
func (p *peer) hasNews(now time.Time, lines []*fleetpb.Line) bool {
	if len(p.changedTargets)+len(p.unreportedReadings)+len(p.unreportedUsage)+len(p.unreportedGroups) > 0 {
		return true
	}
	return slices.ContainsFunc(lines, func(line *fleetpb.Line) bool { return p.isDue(now, line) })
}

// isDue reports whether a line must be part of the next message.
func (p *peer) isDue(now time.Time, line *fleetpb.Line) bool {
	return line.GetWaiting() > 0 || p.reportedWaiting[line.GetService()] || !now.Before(p.lastLinesAt.Add(speedReportPeriod))
}

// takeMessage returns what has changed since the last message and marks it as sent. It returns nil if nothing has changed.
func (p *peer) takeMessage(now time.Time, targets map[uint32]*targetState, readSpeeds map[string]float64, lines []*fleetpb.Line,
) *fleetpb.Activity {
	if !p.hasNews(now, lines) {
		return nil
	}
	activity := &fleetpb.Activity{Readings: p.unreportedReadings}
	for _, line := range lines {
		if p.isDue(now, line) {
			activity.Lines = append(activity.Lines, line)
			p.reportedWaiting[line.GetService()] = line.GetWaiting() > 0
			p.lastLinesAt = now
		}
	}
	p.unreportedReadings = nil
	for targetHash := range p.changedTargets {
		state, listed := targets[targetHash]
		if !listed {
			continue
		}
		running, added := uint32(state.running), p.unreportedTokens[targetHash]
		limit, named := p.unreportedLimits[targetHash]
		left, leaves := p.unreportedLeft[targetHash]
		if p.reportedRuns[targetHash] == running && added == 0 && !named && !leaves {
			continue
		}
		p.reportedRuns[state.nameHash] = running
		use := &fleetpb.TargetUse{
			Target: state.nameHash, Running: running, Added: added, Unread: uint32(state.backlog(now, readSpeeds[state.Service])),
			Started: p.unreportedStarts[targetHash],
		}
		if named {
			use.Limit = &limit
		}
		if leaves {
			use.Left = &left
		}
		activity.Targets = append(activity.Targets, use)
	}
	for customer, delta := range p.unreportedUsage {
		activity.Customers = append(activity.Customers, &fleetpb.CustomerUse{
			Customer: customer, Service: delta.serviceHash, Usage: uint32(max(delta.usage, 0)),
			Refunded: uint32(max(-delta.usage, 0)), Demand: uint32(delta.demand),
		})
	}
	for _, use := range p.unreportedGroups {
		activity.Groups = append(activity.Groups, use)
	}
	clear(p.unreportedGroups)
	clear(p.unreportedUsage)
	clear(p.unreportedTokens)
	clear(p.unreportedStarts)
	clear(p.unreportedLimits)
	clear(p.unreportedLeft)
	clear(p.changedTargets)
	if len(activity.GetTargets())+len(activity.GetReadings())+len(activity.GetCustomers())+len(activity.GetLines())+
		len(activity.GetGroups()) == 0 {
		return nil
	}
	return activity
}
