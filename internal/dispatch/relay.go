package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// relay is the state of the session with a router of another group.
type relay struct {
	Peer
	// unreportedLeft are the starts of targets that leave, by target hash, to send with the next message.
	unreportedLeft map[uint32]int64
}

// addRelay starts a session with a router of another group, which is told which targets leave.
func (d *Dispatcher) addRelay(remote Peer) {
	r := &relay{Peer: remote, unreportedLeft: make(map[uint32]int64)}
	d.relays[remote.Name] = r
	for targetHash, state := range d.targetsByHash {
		if state.notice.leaving {
			r.unreportedLeft[targetHash] = state.StartUnixMilli
		}
	}
}

// takeLeft returns the reports on targets that leave and marks them as sent.
func (r *relay) takeLeft() []*fleetpb.TargetUse {
	uses := make([]*fleetpb.TargetUse, 0, len(r.unreportedLeft))
	for targetHash, start := range r.unreportedLeft {
		uses = append(uses, &fleetpb.TargetUse{Target: targetHash, Left: &start})
	}
	clear(r.unreportedLeft)
	return uses
}

// relayMessages returns the messages to routers of other groups that are due.
func (d *Dispatcher) relayMessages(now time.Time) []message.Envelope {
	if len(d.relays) == 0 {
		return nil
	}
	var envelopes []message.Envelope
	groups := d.dueGroupUse(now)
	for name, r := range d.relays {
		activity := &fleetpb.Activity{Groups: groups, Targets: r.takeLeft()}
		if len(activity.GetGroups())+len(activity.GetTargets()) > 0 {
			body := &fleetpb.Body{Kind: &fleetpb.Body_Activity{Activity: activity}}
			envelopes = append(envelopes, message.Envelope{To: name, Body: body})
		}
	}
	return envelopes
}

// receiveFromRelay takes the message of a router of another group and passes it on to this group.
func (d *Dispatcher) receiveFromRelay(now time.Time, from string, activity *fleetpb.Activity) {
	for _, use := range activity.GetTargets() {
		d.receiveLeaving(now, use)
	}
	d.receiveGroupUse(now, activity.GetGroups())
	d.passOnGroupUse(from, activity.GetGroups())
}

// receiveLeaving takes a report on a target that leaves. If it is new, a router that is linked with other groups passes it on.
func (d *Dispatcher) receiveLeaving(now time.Time, use *fleetpb.TargetUse) {
	if use.Left == nil {
		return
	}
	if d.markLeaving(now, startKey{use.GetTarget(), use.GetLeft()}) && len(d.relays) > 0 {
		d.tellLeaving(use.GetTarget(), use.GetLeft())
	}
}

// tellLeaving queues a report on a target that leaves for all linked routers.
func (d *Dispatcher) tellLeaving(targetHash uint32, startUnixMilli int64) {
	for _, p := range d.peers {
		p.unreportedLeft[targetHash] = startUnixMilli
		p.changedTargets[targetHash] = struct{}{}
	}
	for _, r := range d.relays {
		r.unreportedLeft[targetHash] = startUnixMilli
	}
}
