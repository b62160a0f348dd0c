package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

const (
	// silenceTimeout is the time without a message from a peer after which the peer is down.
	silenceTimeout = 2 * time.Second
	// hostListFetchDelay is the time for which the host list may be older than a peer's before it is fetched from the peer. A
	// list of 6,100 hosts takes hundreds of kilobytes, routers usually get it from the platform within seconds, and leaving
	// marks do not depend on it.
	hostListFetchDelay = 3 * time.Second
	// hostListFetchInterval is the least time between two requests for the host list.
	hostListFetchInterval = time.Second
	// unlistedMarkRetention is the time for which marks of hosts that are not in the host list are kept.
	unlistedMarkRetention = time.Minute
	// pauseThreshold is the time between two calls of Tick or SilentPeers above which this router is taken to have been paused.
	// Calls are normally tens of milliseconds apart.
	pauseThreshold = time.Second
	// probeInterval is the time between two probes.
	probeInterval = time.Second
)

// Tracker tracks the state of the fleet for one router. It combines the platform's host list, load reports from targets and
// messages from peers into a View. It is not safe for concurrent use.
type Tracker struct {
	self   Router
	random *rand.Rand

	hostList external.HostList
	// hosts holds the state of routers and targets by name.
	hosts map[string]*hostState
	// peers holds the state of connections to other routers by name.
	peers map[string]*peerState
	// lastStates holds the states of peers as of the last tick, by name.
	lastStates map[string]State

	// leaving is set once this router is shutting down.
	leaving bool
	// configStatus holds the configuration fields of the heartbeats; its other fields are not used.
	configStatus fleetpb.Heartbeat

	// lastCallAt is the time of the last call of Tick or SilentPeers.
	lastCallAt    time.Time
	nextHeartbeat time.Time
	nextProbe     time.Time
	// probeDown is set if the latest probe preferred routers that are down.
	probeDown bool
	// outdatedSince is the time since which a peer has a newer host list, zero if none has.
	outdatedSince time.Time
	lastListFetch time.Time

	// encodedList caches the message of hostList, nil until it is needed.
	encodedList *fleetpb.Body
	// outbox holds the messages for the next tick.
	outbox []message.Envelope
	// view is the latest view. It must be computed again if viewOutdated is set.
	view         View
	viewOutdated bool
	// lastStatus is the status that the last heartbeats reported.
	lastStatus heartbeatStatus
	// viewGeneration is the number of views computed so far.
	viewGeneration uint64
}

// NewTracker returns the tracker of the router self, whose State is ignored. Until there is a host list, the view holds only
// this router. The seed is for random choices of peers and must differ between routers.
func NewTracker(self Router, incarnation, seed uint64) *Tracker {
	t := &Tracker{
		self:         self,
		random:       rand.New(rand.NewPCG(seed, 1)),
		hosts:        make(map[string]*hostState),
		peers:        make(map[string]*peerState),
		lastStates:   make(map[string]State),
		viewOutdated: true,
	}
	t.hostState(self.Name).incarnation = formatIncarnation(incarnation)
	return t
}

// SetConfigStatus sets the version, log offset and read time of the configuration that heartbeats report. A zero readAt means
// that the log was never read to its end.
func (t *Tracker) SetConfigStatus(version, offset uint64, readAt time.Time) {
	t.configStatus.ConfigVersion, t.configStatus.ConfigOffset, t.configStatus.ReadAt = version, offset, 0
	if !readAt.IsZero() {
		t.configStatus.ReadAt = readAt.UnixMilli()
	}
}

// HostListVersion returns the version of the newest host list, or zero if there is none.
func (t *Tracker) HostListVersion() uint64 { return t.hostList.Version }

// SetHostList sets the host list if it is newer than the current one. Versions start at one. The tracker keeps the list, which the
// caller must not change afterwards.
func (t *Tracker) SetHostList(now time.Time, list external.HostList) {
	if list.Version <= t.hostList.Version {
		return
	}
	former := t.hostList
	t.hostList, t.encodedList, t.viewOutdated = list, nil, true
	listed := make(map[string]bool, len(list.Hosts))
	var updated []string
	for _, entry := range list.Hosts {
		listed[entry.Name] = true
		if t.hostState(entry.Name).applyListMark(entry.Leaving) {
			updated = append(updated, entry.Name)
		}
	}
	t.forgetUnlisted(now, former, listed)
	t.broadcastMarks(updated, "")
}

// forgetUnlisted removes the state of hosts that were removed from the list and have no session. The state of hosts that are
// in neither list is kept for unlistedMarkRetention after the last mark, because a peer may have a newer list.
func (t *Tracker) forgetUnlisted(now time.Time, former external.HostList, listed map[string]bool) {
	maps.DeleteFunc(t.peers, func(name string, peer *peerState) bool { return !listed[name] && !peer.connected })
	removed := make(map[string]bool)
	for _, entry := range former.Hosts {
		removed[entry.Name] = !listed[entry.Name]
	}
	maps.DeleteFunc(t.hosts, func(name string, host *hostState) bool {
		unlisted := removed[name] || !listed[name] && now.Sub(host.lastMarkReceived) > unlistedMarkRetention
		return unlisted && t.peers[name] == nil && name != t.self.Name
	})
}

// ObserveLoad applies the incarnation and leaving mark of a target's load report. Reports of unknown targets are ignored.
func (t *Tracker) ObserveLoad(now time.Time, target string, load external.LoadReport) {
	host, found := t.hosts[target]
	if !found || load.MeasuredAt.Before(host.lastLoadReport) && load.Incarnation != host.incarnation {
		return // An unknown target, or an old report of a former incarnation.
	}
	host.lastLoadReport = load.MeasuredAt
	t.receiveSelfReport(now, target, load.Incarnation, load.Leaving)
}

// receiveSelfReport applies a host's report of its own incarnation and leaving mark, and sends new marks to all peers.
func (t *Tracker) receiveSelfReport(now time.Time, name, incarnation string, leaving bool) {
	if t.hostState(name).applySelfReport(now, incarnation, leaving) {
		t.viewOutdated = true
		t.broadcastMarks([]string{name}, "")
	}
}

// hostState returns the state of a host and creates it if there is none.
func (t *Tracker) hostState(name string) *hostState {
	host, found := t.hosts[name]
	if !found {
		host = &hostState{}
		t.hosts[name] = host
	}
	return host
}

// peerState returns the state of the connection to a router and creates it if there is none.
func (t *Tracker) peerState(name string) *peerState {
	peer, found := t.peers[name]
	if !found {
		peer = &peerState{}
		t.peers[name] = peer
	}
	return peer
}

// Connected records a new session with a peer. The peer is sent a heartbeat and all leaving marks.
func (t *Tracker) Connected(now time.Time, name string, incarnation uint64) {
	text := formatIncarnation(incarnation)
	*t.peerState(name) = peerState{connected: true, lastReceived: now, incarnation: text}
	t.receiveSelfReport(now, name, text, false)
	t.enqueue(name, t.heartbeatMessage())
	if marks := t.leavingMarks(); len(marks) > 0 {
		t.enqueue(name, marksMessage(marks))
	}
}

// Disconnected records the end of a session. The peer is down 2 s after its last message.
func (t *Tracker) Disconnected(_ time.Time, name string) {
	if peer := t.peers[name]; peer != nil {
		peer.connected = false
	}
}

// SessionReleased records the end of a session that was closed because it was no longer needed. The peer counts as up, like a
// router with which no session was attempted.
func (t *Tracker) SessionReleased(_ time.Time, name string) { delete(t.peers, name) }

// ConnectFailed records a failed attempt to open a session with a peer. The peer is down unless a message from it arrived in the
// last 2 s.
func (t *Tracker) ConnectFailed(_ time.Time, name string) { t.peerState(name) }

// SilentPeers returns the sorted names of peers whose sessions must be closed because no message arrived for 2 s. These peers
// get no more heartbeats, so that the other side of a one-way partition ends the session too.
func (t *Tracker) SilentPeers(now time.Time) []string {
	t.adjustForPause(now)
	var names []string
	for name, peer := range t.peers {
		if peer.isSilent(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Leave marks this router as leaving. The next tick tells all peers with a session.
func (t *Tracker) Leave(now time.Time) {
	t.leaving, t.viewOutdated, t.nextHeartbeat = true, true, now
}

// Tick updates the states of peers and returns the messages to send. It must be called at intervals far below
// pauseThreshold.
func (t *Tracker) Tick(now time.Time) []message.Envelope {
	t.adjustForPause(now)
	t.updateStates(now)
	t.fetchHostList(now)
	if !now.Before(t.nextHeartbeat) {
		t.nextHeartbeat = now.Add(heartbeatInterval)
		body := t.heartbeatMessage()
		statusChanged := t.takeStatusChange()
		for _, name := range slices.Sorted(maps.Keys(t.peers)) {
			if peer := t.peers[name]; peer.connected && !peer.isSilent(now) && (statusChanged || !peer.canSkipHeartbeat(now)) {
				peer.lastHeartbeat = now
				t.enqueue(name, body)
			}
		}
	}
	envelopes := t.outbox
	t.outbox = nil
	return envelopes
}

// adjustForPause records the time of a call of Tick or SilentPeers. If this router was paused since the previous one,
// it excludes the pause from the silence of its peers, because messages that arrived in the meantime have not been processed yet.
func (t *Tracker) adjustForPause(now time.Time) {
	gap := now.Sub(t.lastCallAt)
	if !t.lastCallAt.IsZero() && gap > pauseThreshold {
		for _, peer := range t.peers {
			if later := peer.lastReceived.Add(gap); peer.connected && later.Before(now) {
				peer.lastReceived = later
			} else if peer.connected {
				peer.lastReceived = now
			}
		}
	}
	t.lastCallAt = now
}

// updateStates updates lastStates, and marks the view as outdated if a state changed.
func (t *Tracker) updateStates(now time.Time) {
	for name, peer := range t.peers {
		if state := peer.state(now); t.lastStates[name] != state {
			t.lastStates[name], t.viewOutdated = state, true
		}
	}
	for name := range t.lastStates {
		if t.peers[name] == nil {
			delete(t.lastStates, name)
			t.viewOutdated = true
		}
	}
}

// heartbeatStatus holds the contents of heartbeats that peers must learn without delay if they change.
type heartbeatStatus struct {
	leaving                        bool
	configVersion, hostListVersion uint64
}

// enqueue adds a message to the outbox.
func (t *Tracker) enqueue(to string, body *fleetpb.Body) {
	t.outbox = append(t.outbox, message.Envelope{To: to, Body: body})
}

// NextProbe returns the name of a listed router with which to attempt a session, and whether there is one. It returns at most
// one router per second. Probes alternate between routers that are down, so that a router that comes back is found soon,
// and routers that were never tried, so that each of them is tried eventually.
func (t *Tracker) NextProbe(now time.Time) (string, bool) {
	if now.Before(t.nextProbe) {
		return "", false
	}
	t.nextProbe = now.Add(probeInterval)
	t.probeDown = !t.probeDown
	var untried, down []string
	for _, entry := range t.hostList.Hosts {
		if entry.Role != external.RoleRouter || entry.Name == t.self.Name {
			continue
		}
		peer := t.peers[entry.Name]
		switch {
		case peer != nil && peer.connected:
		case peer.state(now) == Down:
			down = append(down, entry.Name)
		default:
			untried = append(untried, entry.Name)
		}
	}
	choice := untried
	if t.probeDown && len(down) > 0 || len(untried) == 0 {
		choice = down
	}
	if len(choice) == 0 {
		return "", false
	}
	return choice[t.random.IntN(len(choice))], true
}

// formatIncarnation formats a router's incarnation as a decimal string, the form of incarnations in load reports and marks.
func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }
