package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// AddPeer starts a new session with a peer and ends the previous one if there is one. A peer in the same region may just have
// started, so it is sent the cached prompt parts of all targets. A router of another group is told only what this
// group uses and which targets leave.
func (d *Dispatcher) AddPeer(now time.Time, remote Peer) {
	d.RemovePeer(now, remote.Name)
	if d.isOutsideGroup(remote) {
		d.addRelay(remote)
		return
	}
	p := newPeer(remote, d.locality)
	d.peers[remote.Name] = p
	if p.near {
		d.nearPeers++
	}
	d.divideRateLimits(now)
	for targetHash, state := range d.targetsByHash {
		if state.running > 0 {
			p.changedTargets[targetHash] = struct{}{}
		}
		if state.rateLimit.applies(now) {
			p.changedTargets[targetHash] = struct{}{}
			p.unreportedLimits[targetHash] = state.rateLimit.perSecond
		}
		if state.notice.leaving {
			p.changedTargets[targetHash] = struct{}{}
			p.unreportedLeft[targetHash] = state.StartUnixMilli
		}
	}
	if remote.Region != d.locality.Region {
		return
	}
	for _, state := range d.targets {
		reading := &fleetpb.Reading{Target: state.nameHash}
		state.cache.forEach(now, func(part Part) { appendPart(reading, part) })
		if len(reading.GetParts()) > 0 {
			p.unreportedReadings = append(p.unreportedReadings, reading)
		}
	}
}

// RemovePeer ends the session with a peer. Its runs at targets are no longer counted, because it no longer
// reports them.
func (d *Dispatcher) RemovePeer(now time.Time, name string) {
	delete(d.relays, name)
	p, found := d.peers[name]
	if !found {
		return
	}
	delete(d.peers, name)
	if p.near {
		d.nearPeers--
	}
	d.divideRateLimits(now)
	for targetHash := range p.runs {
		d.setPeerRuns(p, targetHash, 0)
	}
}

// Receive processes a message from a peer. It ignores messages from unknown peers and messages without activity.
func (d *Dispatcher) Receive(now time.Time, from string, body *fleetpb.Body) {
	sender, known := d.peers[from]
	_, isRelay := d.relays[from]
	activity := body.GetActivity()
	if !known && !isRelay || activity == nil {
		return
	}
	if isRelay {
		d.receiveFromRelay(now, from, activity)
		return
	}
	d.receiveGroupUse(now, activity.GetGroups())
	for _, use := range activity.GetTargets() {
		d.receiveTargetUse(now, sender, use)
	}
	for _, reading := range activity.GetReadings() {
		d.receiveReading(now, reading)
	}
	for _, line := range activity.GetLines() {
		sender.queueReports[line.GetService()] = queueReport{
			waiting: int(line.GetWaiting()), readSpeed: float64(line.GetSpeed()), receivedAt: now,
		}
	}
	d.readSpeedsOutdated = d.readSpeedsOutdated || len(activity.GetLines()) > 0
	for _, use := range activity.GetCustomers() {
		usage := float64(use.GetUsage()) - float64(use.GetRefunded())
		d.accounts.add(now, use.GetService(), use.GetCustomer(), usage, float64(use.GetDemand()))
	}
	for _, s := range d.services {
		d.assignWaiting(now, s)
	}
}

// receiveTargetUse takes a peer's figures of its runs at a target and of the prompts that the target has to read.
func (d *Dispatcher) receiveTargetUse(now time.Time, sender *peer, use *fleetpb.TargetUse) {
	d.setPeerRuns(sender, use.GetTarget(), use.GetRunning())
	d.receiveLeaving(now, use)
	state := d.targetsByHash[use.GetTarget()]
	if state == nil {
		return
	}
	d.receiveRateLimit(now, state, use.Limit, use.GetStarted())
	readSpeed := d.getOrCreateService(state.Service).readSpeed
	if use.GetAdded() > 0 {
		state.addUnread(now, readSpeed, int(use.GetAdded()))
	}
	state.mergePeerBacklog(now, readSpeed, float64(use.GetUnread()))
}

// receiveReading takes the prompt parts that a target has read for a peer. Parts without a length are ignored.
func (d *Dispatcher) receiveReading(now time.Time, reading *fleetpb.Reading) {
	state := d.targetsByHash[reading.GetTarget()]
	if state == nil {
		return
	}
	s := d.getOrCreateService(state.Service)
	for i, part := range reading.GetParts() {
		if i < len(reading.GetTokens()) {
			state.cache.touch(now, Part{ID: part, Tokens: int(reading.GetTokens()[i])}, state.kvCapacity)
			s.recordReader(part, state)
		}
	}
}

// updateOwnFractions sets the fraction of each service's demand that reaches this router, from time to time.
func (d *Dispatcher) updateOwnFractions(now time.Time) {
	if now.Before(d.ownFractionsAt) {
		return
	}
	d.ownFractionsAt = now.Add(averageSpeedsPeriod)
	for _, s := range d.services {
		s.ownFraction = d.accounts.ownFraction(now, s.nameHash)
	}
}

// averageReadSpeeds sets the read speed of each service to the mean of the estimates of this router and its peers, if there are new ones.
func (d *Dispatcher) averageReadSpeeds(now time.Time) {
	if !d.readSpeedsOutdated || now.Before(d.averageSpeedsAt) {
		return
	}
	d.readSpeedsOutdated, d.averageSpeedsAt = false, now.Add(averageSpeedsPeriod)
	for _, s := range d.services {
		sum, count := s.latency.TokensPerSecond(), 1.0
		for _, p := range d.peers {
			if report, found := p.queueReports[s.nameHash]; found && report.readSpeed > 0 {
				sum += report.readSpeed
				count++
			}
		}
		s.readSpeed = sum / count
	}
}

// setPeerRuns replaces the number of runs that a peer has at a target.
func (d *Dispatcher) setPeerRuns(p *peer, targetHash, running uint32) {
	previous := p.runs[targetHash]
	if running == 0 {
		delete(p.runs, targetHash)
	} else {
		p.runs[targetHash] = running
	}
	if state := d.targetsByHash[targetHash]; state != nil {
		state.peerRuns += int(running) - int(previous)
	}
}

// markChanged queues a report on this router's use of a target for all peers.
func (d *Dispatcher) markChanged(state *targetState) {
	for _, p := range d.peers {
		p.changedTargets[state.nameHash] = struct{}{}
	}
}

// initPeerRuns sets the number of runs that all peers have at a target that is new to this router.
func (d *Dispatcher) initPeerRuns(state *targetState) {
	for _, p := range d.peers {
		state.peerRuns += int(p.runs[state.nameHash])
	}
}

// appendPart appends a part to a reading.
func appendPart(reading *fleetpb.Reading, part Part) {
	reading.Parts = append(reading.Parts, part.ID)
	reading.Tokens = append(reading.Tokens, uint32(max(part.Tokens, 0)))
}

// announce queues a message to the peers that a target reads the parts of a request. Parts that were announced within
// reannounceInterval are left out.
func (d *Dispatcher) announce(now time.Time, state *targetState, request *Request) {
	if len(d.peers) == 0 {
		return
	}
	reading := &fleetpb.Reading{Target: state.nameHash}
	for _, part := range request.Parts {
		key := announcementKey{targetHash: state.nameHash, partID: part.ID}
		if now.Sub(d.announcedAt[key]) < reannounceInterval {
			continue
		}
		d.announcedAt[key] = now
		appendPart(reading, part)
	}
	if len(reading.GetParts()) == 0 {
		return
	}
	for _, p := range d.peers {
		p.unreportedReadings = append(p.unreportedReadings, reading)
	}
	d.pruneAnnouncements(now)
}

// pruneAnnouncements removes announcements older than reannounceInterval once there are announcementPruneLimit of them. They
// no longer suppress a repetition.
func (d *Dispatcher) pruneAnnouncements(now time.Time) {
	if len(d.announcedAt) < announcementPruneLimit {
		return
	}
	for key, announcedAt := range d.announcedAt {
		if now.Sub(announcedAt) >= reannounceInterval {
			delete(d.announcedAt, key)
		}
	}
}

// queueLines returns one line for each service. It reports the service's queue and read speed to the peers.
func (d *Dispatcher) queueLines() []*fleetpb.Line {
	lines := make([]*fleetpb.Line, 0, len(d.services))
	for _, s := range d.services {
		lines = append(lines, &fleetpb.Line{
			Service: s.nameHash, Waiting: uint32(s.queue.length), Speed: uint32(s.latency.TokensPerSecond()),
		})
	}
	return lines
}

// messagePeriods returns the time between messages to a peer in the same region and in another one.
func (d *Dispatcher) messagePeriods() (near, far time.Duration) {
	excessNear := max(d.nearPeers-nearPeersAtFullRate, 0)
	excessFar := max(len(d.peers)-d.nearPeers-farPeersAtFullRate, 0)
	return nearPeriod + time.Duration(excessNear)*nearPeriodStep, farPeriod + time.Duration(excessFar)*farPeriodStep
}

// Tick gives waiting requests targets whose expected state has changed with time, and returns the messages to peers that are
// due. It is called periodically.
func (d *Dispatcher) Tick(now time.Time) []message.Envelope {
	for _, s := range d.services {
		d.assignWaiting(now, s)
	}
	d.averageReadSpeeds(now)
	d.updateOwnFractions(now)
	lines := d.queueLines()
	readSpeeds := make(map[string]float64, len(d.services))
	for name, s := range d.services {
		readSpeeds[name] = s.readSpeed
	}
	envelopes := d.relayMessages(now)
	near, far := d.messagePeriods()
	for name, p := range d.peers {
		if now.Before(p.nextMessageAt) {
			continue
		}
		activity := p.takeMessage(now, d.targetsByHash, readSpeeds, lines)
		if activity == nil {
			continue
		}
		p.nextMessageAt = now.Add(far)
		if p.near {
			p.nextMessageAt = now.Add(near)
		}
		envelopes = append(envelopes, message.Envelope{
			To: name, Body: &fleetpb.Body{Kind: &fleetpb.Body_Activity{Activity: activity}},
		})
	}
	return envelopes
}
