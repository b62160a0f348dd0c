package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// nearPeriod and farPeriod are the times between messages to a peer of the same and of another region. Traffic between
	// regions is billed. Each peer beyond nearCount or farCount makes them longer by nearDelay or farDelay, so that the
	// messages of a large fleet do not take up its processors.
	nearPeriod = 25 * time.Millisecond
	farPeriod  = 120 * time.Millisecond
	nearCount  = 6
	farCount   = 10
	nearDelay  = 4 * time.Millisecond
	farDelay   = 12 * time.Millisecond
	// announcedSpan is the time after which the use of a part that was announced before is announced again.
	announcedSpan = 4 * time.Second
	// speedPeriod is the time between messages with learnt speeds if nothing waits.
	speedPeriod = time.Second
	// manyAnnouncements is the number of announcements from which old ones are dropped.
	manyAnnouncements = 4096
	// lineSpan is the time after which a peer's word on its waiting requests is out of date; it is repeated before.
	lineSpan = 400 * time.Millisecond
)

// Peer is another router that decides on the same targets.
type Peer struct {
	// Name identifies the router.
	Name string
	// Region is the region of the router.
	Region string
}

// lineReport is what a peer told of its waiting requests.
type lineReport struct {
	waiting int
	speed   float64
	lowest  float64
	at      time.Time
}

// spending is what a customer got from a service and asked for.
type spending struct {
	service     uint32
	used, asked float64
}

// plus returns the spending with more of both.
func (s spending) plus(service uint32, used, asked float64) spending {
	return spending{service: service, used: s.used + used, asked: s.asked + asked}
}

// announcement is a part of a prompt at a target.
type announcement struct {
	target uint32
	part   uint64
}

// peer is a linked router.
type peer struct {
	Peer
	// near is set if the peer is in the router's region.
	near bool
	next time.Time
	// told are the runs of this router that the peer knows of, has those of the peer that this router knows of.
	told map[uint32]uint32
	has  map[uint32]uint32
	// changed are the targets at which something is not told yet.
	changed map[uint32]struct{}
	// added are the tokens given to targets that are not told yet.
	added map[uint32]uint32
	// readings and customers are not told yet.
	readings  []*fleetpb.Reading
	customers map[uint32]spending
	// lines are what the peer told of its waiting requests by service, reported the services of which it was told.
	lines    map[uint32]lineReport
	reported map[uint32]bool
	// spoken is the instant of the last message with lines.
	spoken time.Time
}

// newPeer returns a peer that was told nothing.
func newPeer(described Peer, from Locality) *peer {
	return &peer{
		Peer: described, near: described.Region == from.Region,
		changed: make(map[uint32]struct{}),
		told:    make(map[uint32]uint32), has: make(map[uint32]uint32), added: make(map[uint32]uint32), customers: make(map[uint32]spending),
		lines: make(map[uint32]lineReport), reported: make(map[uint32]bool),
	}
}

// short returns the hash of a name in messages to peers.
func short(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// message returns what is new since the last message, nil if nothing is.
func (p *peer) message(now time.Time, targets map[uint32]*targetState, speeds map[string]float64, lines []*fleetpb.Line,
) *fleetpb.Activity {
	told := &fleetpb.Activity{Readings: p.readings}
	for _, line := range lines {
		if line.GetWaiting() > 0 || p.reported[line.GetService()] || !now.Before(p.spoken.Add(speedPeriod)) {
			told.Lines = append(told.Lines, line)
			p.reported[line.GetService()] = line.GetWaiting() > 0
			p.spoken = now
		}
	}
	p.readings = nil
	for short := range p.changed {
		state, listed := targets[short]
		if !listed {
			continue
		}
		current, added := uint32(state.running), p.added[short]
		if p.told[short] == current && added == 0 {
			continue
		}
		p.told[state.short] = current
		told.Targets = append(told.Targets, &fleetpb.TargetUse{
			Target: state.short, Running: current, Added: added, Unread: uint32(state.queued(now, speeds[state.Service])),
		})
	}
	for customer, spent := range p.customers {
		told.Customers = append(told.Customers, &fleetpb.CustomerUse{
			Customer: customer, Service: uint32(max(spent.used, 0)), Asked: uint32(spent.asked), Of: spent.service,
		})
	}
	clear(p.customers)
	clear(p.added)
	clear(p.changed)
	if len(told.GetTargets())+len(told.GetReadings())+len(told.GetCustomers())+len(told.GetLines()) == 0 {
		return nil
	}
	return told
}
