package dispatch

import (
	"math"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// AddPeer notes a new session with a peer. A peer of the same region is told which parts of prompts the targets have
// read, since it may just have started.
func (d *Dispatcher) AddPeer(now time.Time, described Peer) {
	d.RemovePeer(described.Name)
	linked := newPeer(described, d.place)
	d.peers[described.Name] = linked
	for short, state := range d.shorts {
		if state.running > 0 {
			linked.changed[short] = struct{}{}
		}
	}
	if described.Region != d.place.Region {
		return
	}
	for _, state := range d.targets {
		reading := &fleetpb.Reading{Target: state.short}
		state.cache.each(now, func(part Part) { add(reading, part) })
		if len(reading.GetParts()) > 0 {
			linked.readings = append(linked.readings, reading)
		}
	}
}

// RemovePeer notes the end of a session: what the peer has at targets is not known any more.
func (d *Dispatcher) RemovePeer(name string) {
	left, found := d.peers[name]
	if !found {
		return
	}
	delete(d.peers, name)
	for target := range left.has {
		d.share(left, target, 0)
	}
}

// Receive takes a message of a peer.
func (d *Dispatcher) Receive(now time.Time, from string, body *fleetpb.Body) {
	sender, linked := d.peers[from]
	activity := body.GetActivity()
	if !linked || activity == nil {
		return
	}
	for _, told := range activity.GetTargets() {
		d.share(sender, told.GetTarget(), told.GetRunning())
		if state := d.shorts[told.GetTarget()]; state != nil && told.GetAdded() > 0 {
			state.read(now, d.service(state.Service).speed, int(told.GetAdded()))
		}
		if state := d.shorts[told.GetTarget()]; state != nil {
			state.learn(now, d.service(state.Service).speed, float64(told.GetUnread()))
		}
	}
	for _, reading := range activity.GetReadings() {
		if state := d.shorts[reading.GetTarget()]; state != nil {
			for i, part := range reading.GetParts() {
				if i < len(reading.GetTokens()) {
					state.cache.use(now, Part{ID: part, Tokens: int(reading.GetTokens()[i])}, state.memory)
					d.service(state.Service).remember(part, state)
				}
			}
		}
	}
	for _, told := range activity.GetLines() {
		sender.lines[told.GetService()] = lineReport{
			waiting: int(told.GetWaiting()), lowest: float64(told.GetLowest()), speed: float64(told.GetSpeed()), at: now,
		}
	}
	if len(activity.GetLines()) > 0 {
		d.average()
	}
	for _, told := range activity.GetCustomers() {
		d.accounts.charge(now, told.GetOf(), told.GetCustomer(), float64(told.GetService()), float64(told.GetAsked()))
	}
	for _, s := range d.services {
		d.pump(now, s)
	}
}

// average sets the speed of the targets of each service to the mean of what this router and its peers have learnt.
func (d *Dispatcher) average() {
	for _, s := range d.services {
		sum, count := s.fit.Speed(), 1.0
		for _, linked := range d.peers {
			if told, found := linked.lines[s.short]; found && told.speed > 0 {
				sum += told.speed
				count++
			}
		}
		s.speed = sum / count
	}
}

// share replaces the number of runs that a peer has at a target.
func (d *Dispatcher) share(of *peer, target, current uint32) {
	before := of.has[target]
	if current == 0 {
		delete(of.has, target)
	} else {
		of.has[target] = current
	}
	if state := d.shorts[target]; state != nil {
		state.sharedRunning += int(current) - int(before)
	}
}

// mark notes that the peers are to be told what this router has at a target.
func (d *Dispatcher) mark(state *targetState) {
	for _, linked := range d.peers {
		linked.changed[state.short] = struct{}{}
	}
}

// sum sets the number of runs that all peers have at a target that is new to this router.
func (d *Dispatcher) sum(state *targetState) {
	for _, linked := range d.peers {
		state.sharedRunning += int(linked.has[state.short])
	}
}

// add adds a part to a message.
func add(reading *fleetpb.Reading, part Part) {
	reading.Parts = append(reading.Parts, part.ID)
	reading.Tokens = append(reading.Tokens, uint32(max(part.Tokens, 0)))
}

// announce queues for the peers that a target reads the parts of a request. A part that was announced a moment ago is
// left out.
func (d *Dispatcher) announce(now time.Time, state *targetState, request *Request) {
	if len(d.peers) == 0 {
		return
	}
	reading := &fleetpb.Reading{Target: state.short}
	for _, part := range request.Parts {
		key := announcement{target: state.short, part: part.ID}
		if now.Sub(d.announced[key]) < announcedSpan {
			continue
		}
		d.announced[key] = now
		add(reading, part)
	}
	if len(reading.GetParts()) == 0 {
		return
	}
	for _, linked := range d.peers {
		linked.readings = append(linked.readings, reading)
	}
	d.forgetAnnouncements(now)
}

// forgetAnnouncements drops the announcements that would be repeated anyway, once there are many.
func (d *Dispatcher) forgetAnnouncements(now time.Time) {
	if len(d.announced) < manyAnnouncements {
		return
	}
	for key, at := range d.announced {
		if now.Sub(at) >= announcedSpan {
			delete(d.announced, key)
		}
	}
}

// report returns what waits at this router.
func (d *Dispatcher) report(now time.Time) []*fleetpb.Line {
	lines := make([]*fleetpb.Line, 0, len(d.services))
	for _, s := range d.services {
		line := &fleetpb.Line{Service: s.short, Waiting: uint32(s.line.length), Speed: uint32(s.fit.Speed())}
		if s.line.length > 0 {
			lowest := math.Inf(1)
			for customer := range s.line.customers {
				lowest = min(lowest, d.accounts.used(now, s, customer))
			}
			line.Lowest = uint32(lowest)
		}
		lines = append(lines, line)
	}
	return lines
}

// periods returns the times between messages to a peer of the same and of another region.
func (d *Dispatcher) periods() (near, far time.Duration) {
	count := 0
	for _, linked := range d.peers {
		if linked.near {
			count++
		}
	}
	beyondNear, beyondFar := max(count-nearCount, 0), max(len(d.peers)-count-farCount, 0)
	return nearPeriod + time.Duration(beyondNear)*nearDelay, farPeriod + time.Duration(beyondFar)*farDelay
}

// Tick places requests for which room was left to peers, and returns the messages that are due.
func (d *Dispatcher) Tick(now time.Time) []message.Envelope {
	for _, s := range d.services {
		d.pump(now, s)
	}
	var envelopes []message.Envelope
	lines := d.report(now)
	speeds := make(map[string]float64, len(d.services))
	for name, s := range d.services {
		speeds[name] = s.speed
	}
	near, far := d.periods()
	for name, linked := range d.peers {
		if now.Before(linked.next) {
			continue
		}
		told := linked.message(now, d.shorts, speeds, lines)
		if told == nil {
			continue
		}
		linked.next = now.Add(far)
		if linked.near {
			linked.next = now.Add(near)
		}
		envelopes = append(envelopes, message.Envelope{
			To: name, Body: &fleetpb.Body{Kind: &fleetpb.Body_Activity{Activity: told}},
		})
	}
	return envelopes
}
