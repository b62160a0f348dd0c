package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	// beat is the period of the heartbeats.
	beat = 500 * time.Millisecond
	// silence is the time without a message after which a peer is down.
	silence = 2 * time.Second
	// lag is the time for which a host list may be older than a peer's before it is fetched: a list of 6,100 hosts takes
	// hundreds of kilobytes, routers get a new one from the platform within seconds, and marks do not wait for it.
	lag = 3 * time.Second
	// longBeat is the period of heartbeats on a link that carries other messages. It keeps what heartbeats tell no older
	// than the silence limit.
	longBeat = 1500 * time.Millisecond
	// refetch is the time after which another peer is asked.
	refetch = time.Second
	// unlistedMarks is the time for which marks of hosts that are not listed yet are kept.
	unlistedMarks = time.Minute
	// pause is the time between two ticks from which on this router was paused: ticks are tens of milliseconds apart.
	pause = time.Second
	// probe is the period of probes.
	probe = time.Second
)

// Tracker is the membership core of one router: it joins the platform's host list, load reports and the word of peers
// into a View.
type Tracker struct {
	self   Router
	random *rand.Rand

	list   outside.HostList
	known  map[string]*host
	peers  map[string]*peer
	states map[string]State

	// leaving is set once this router leaves.
	leaving bool
	// config is the configuration that heartbeats tell of.
	config fleetpb.Heartbeat

	lastTick  time.Time
	nextBeat  time.Time
	nextProbe time.Time
	turn      bool
	behind    time.Time
	asked     time.Time

	offer     *fleetpb.Body
	envelopes []message.Envelope
	view      View
	changed   bool
	// said is what the last heartbeats told.
	said statement
	// generation counts the views.
	generation uint64
}

// NewTracker returns the core of a router, which knows itself from its settings; the state of self is ignored. Until
// there is a host list it is the only router. Each router needs its own seed for its random choices.
func NewTracker(self Router, incarnation, seed uint64) *Tracker {
	t := &Tracker{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, 1)),
		known:   make(map[string]*host),
		peers:   make(map[string]*peer),
		states:  make(map[string]State),
		changed: true,
	}
	t.host(self.Name).incarnation = formatIncarnation(incarnation)
	return t
}

// SetConfigStatus sets what the heartbeats tell of the configuration; readAt is zero if the log was never read.
func (t *Tracker) SetConfigStatus(version, offset uint64, readAt time.Time) {
	t.config.ConfigVersion, t.config.ConfigOffset, t.config.ReadAt = version, offset, 0
	if !readAt.IsZero() {
		t.config.ReadAt = readAt.UnixMilli()
	}
}

// HostListVersion returns the version of the newest host list, zero if there is none.
func (t *Tracker) HostListVersion() uint64 { return t.list.Version }

// List takes a host list. One that is not newer changes nothing; the first version is one.
func (t *Tracker) List(now time.Time, list outside.HostList) {
	if list.Version <= t.list.Version {
		return
	}
	former := t.list
	t.list, t.offer, t.changed = list, nil, true
	listed := make(map[string]bool, len(list.Hosts))
	var news []string
	for _, entry := range list.Hosts {
		listed[entry.Name] = true
		if t.host(entry.Name).list(entry.Leaving) {
			news = append(news, entry.Name)
		}
	}
	t.forget(now, former, listed)
	t.spread(news, "")
}

// forget drops what is known of hosts that left the list and have no link. Marks of hosts that are not listed yet are
// kept for a while, since a peer may have a newer list.
func (t *Tracker) forget(now time.Time, former outside.HostList, listed map[string]bool) {
	maps.DeleteFunc(t.peers, func(name string, link *peer) bool { return !listed[name] && !link.session })
	gone := make(map[string]bool)
	for _, entry := range former.Hosts {
		gone[entry.Name] = !listed[entry.Name]
	}
	maps.DeleteFunc(t.known, func(name string, known *host) bool {
		unlisted := gone[name] || !listed[name] && now.Sub(known.noted) > unlistedMarks
		return unlisted && t.peers[name] == nil && name != t.self.Name
	})
}

// ObserveLoad takes a target's load report.
func (t *Tracker) ObserveLoad(now time.Time, target string, load outside.LoadReport) {
	known, listed := t.known[target]
	if !listed || load.MeasuredAt.Before(known.reported) && load.Incarnation != known.incarnation {
		return // An old report of a former incarnation.
	}
	known.reported = load.MeasuredAt
	t.hear(now, target, load.Incarnation, load.Leaving)
}

// hear takes a host's own word, and spreads what is new.
func (t *Tracker) hear(now time.Time, name, incarnation string, leaving bool) {
	if t.host(name).hear(now, incarnation, leaving) {
		t.changed = true
		t.spread([]string{name}, "")
	}
}

// host returns what is known of a host.
func (t *Tracker) host(name string) *host {
	known, found := t.known[name]
	if !found {
		known = &host{}
		t.known[name] = known
	}
	return known
}

// peer returns the link to a router.
func (t *Tracker) peer(name string) *peer {
	link, found := t.peers[name]
	if !found {
		link = &peer{}
		t.peers[name] = link
	}
	return link
}

// Connected notes a session with a peer.
func (t *Tracker) Connected(now time.Time, name string, incarnation uint64) {
	text := formatIncarnation(incarnation)
	*t.peer(name) = peer{session: true, heard: now, incarnation: text}
	t.hear(now, name, text, false)
	t.send(name, t.heartbeat())
	if marks := t.marks(); len(marks) > 0 {
		t.send(name, marksBody(marks))
	}
}

// Disconnected notes the end of a session. The peer is down 2 s after it was last heard.
func (t *Tracker) Disconnected(_ time.Time, name string) {
	if link := t.peers[name]; link != nil {
		link.session = false
	}
}

// SessionReleased notes that this router closed a session that it does not need. The peer counts as up, like one that was
// never linked.
func (t *Tracker) SessionReleased(_ time.Time, name string) { delete(t.peers, name) }

// ConnectFailed notes that an attempt to link to a peer failed. The peer is down unless it was heard in the last 2 s.
func (t *Tracker) ConnectFailed(_ time.Time, name string) { t.peer(name) }

// SilentPeers returns the peers whose sessions are to be closed, since nothing was heard on them for 2 s. This router sends
// no heartbeats on them any more, so that the other side of a one-way partition ends the session too.
func (t *Tracker) SilentPeers(now time.Time) []string {
	t.resume(now)
	var names []string
	for name, link := range t.peers {
		if link.silent(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Leave notes that this router is leaving, and tells all linked peers.
func (t *Tracker) Leave(now time.Time) {
	t.leaving, t.changed, t.nextBeat = true, true, now
}

// Tick returns the messages to send.
func (t *Tracker) Tick(now time.Time) []message.Envelope {
	t.resume(now)
	t.refresh(now)
	t.fetchList(now)
	if !now.Before(t.nextBeat) {
		t.nextBeat = now.Add(beat)
		body := t.heartbeat()
		news := t.unsaid()
		for _, name := range slices.Sorted(maps.Keys(t.peers)) {
			if link := t.peers[name]; link.session && !link.silent(now) && (news || !link.fresh(now)) {
				link.beat = now
				t.send(name, body)
			}
		}
	}
	envelopes := t.envelopes
	t.envelopes = nil
	return envelopes
}

// resume notes the instant of a tick. If this router was paused, the time of the pause does not count as silence, since
// the messages that came in meanwhile are still to be taken.
func (t *Tracker) resume(now time.Time) {
	gap := now.Sub(t.lastTick)
	if !t.lastTick.IsZero() && gap > pause {
		for _, link := range t.peers {
			if later := link.heard.Add(gap); link.session && later.Before(now) {
				link.heard = later
			} else if link.session {
				link.heard = now
			}
		}
	}
	t.lastTick = now
}

// refresh notes which listed routers came up or went down.
func (t *Tracker) refresh(now time.Time) {
	for name, link := range t.peers {
		if state := link.state(now); t.states[name] != state {
			t.states[name], t.changed = state, true
		}
	}
	for name := range t.states {
		if t.peers[name] == nil {
			delete(t.states, name)
			t.changed = true
		}
	}
}

// heartbeat returns the heartbeat of this instant.
func (t *Tracker) heartbeat() *fleetpb.Body {
	return &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{
		Leaving:       t.leaving,
		ConfigVersion: t.config.ConfigVersion,
		ConfigOffset:  t.config.ConfigOffset,
		HostsVersion:  t.list.Version,
		ReadAt:        t.config.ReadAt,
	}}}
}

// statement is what heartbeats tell besides that the sender lives.
type statement struct {
	leaving       bool
	config, hosts uint64
}

// unsaid tells whether heartbeats have something new to tell, which then counts as told.
func (t *Tracker) unsaid() bool {
	now := statement{leaving: t.leaving, config: t.config.ConfigVersion, hosts: t.list.Version}
	changed := now != t.said
	t.said = now
	return changed
}

// Sent notes that other messages were sent to a peer; they stand for a heartbeat.
func (t *Tracker) Sent(now time.Time, name string) {
	if link := t.peers[name]; link != nil {
		link.sent = now
	}
}

// Received notes a message of a peer that is not for this core.
func (t *Tracker) Received(now time.Time, name string) {
	if link := t.peers[name]; link != nil && link.session {
		link.heard = now
	}
}

// send queues a message for the next tick.
func (t *Tracker) send(to string, body *fleetpb.Body) {
	t.envelopes = append(t.envelopes, message.Envelope{To: to, Body: body})
}

// NextProbe names a listed router without a session to link to, at most one a second. Probes go in turn to routers that are
// down, so that one that rejoins is found soon, and to those that were never reached, so that each is tried in time.
func (t *Tracker) NextProbe(now time.Time) (string, bool) {
	if now.Before(t.nextProbe) {
		return "", false
	}
	t.nextProbe = now.Add(probe)
	t.turn = !t.turn
	var untried, down []string
	for _, entry := range t.list.Hosts {
		if entry.Role != outside.RoleRouter || entry.Name == t.self.Name {
			continue
		}
		link := t.peers[entry.Name]
		switch {
		case link != nil && link.session:
		case link.state(now) == Down:
			down = append(down, entry.Name)
		default:
			untried = append(untried, entry.Name)
		}
	}
	choice := untried
	if t.turn && len(down) > 0 || len(untried) == 0 {
		choice = down
	}
	if len(choice) == 0 {
		return "", false
	}
	return choice[t.random.IntN(len(choice))], true
}

// View returns the present view. It is computed anew only after a change.
func (t *Tracker) View() View {
	if t.changed {
		t.view, t.changed = t.compute(), false
		t.generation++
	}
	return t.view
}

// ViewGeneration returns the number of views so far; it grows when View returns another one than before.
func (t *Tracker) ViewGeneration() uint64 {
	t.View()
	return t.generation
}

// compute joins the list with what is known of its hosts.
func (t *Tracker) compute() View {
	routers := make([]Router, 0, len(t.list.Hosts)+1)
	targets := make([]Target, 0, len(t.list.Hosts))
	selfListed := false
	for _, entry := range t.list.Hosts {
		leaving := entry.Leaving || t.host(entry.Name).leaving
		if entry.Role != outside.RoleRouter {
			targets = append(targets, Target{
				Name: entry.Name, IsService: entry.Role == outside.RoleService, Region: entry.Region, Zone: entry.Zone,
				Address: entry.Address, Model: entry.Model, Slots: entry.Slots, Leaving: leaving, Fenced: entry.Fenced,
			})
			continue
		}
		router := Router{
			Name: entry.Name, Region: entry.Region, Zone: entry.Zone, LinkAddress: entry.LinkAddress, State: t.routerState(entry.Name),
		}
		if leaving || entry.Name == t.self.Name && t.leaving {
			router.State = Leaving
		}
		selfListed = selfListed || entry.Name == t.self.Name
		routers = append(routers, router)
	}
	if !selfListed {
		routers = append(routers, t.unlisted(len(routers) == 0))
	}
	return NewView(t.self.Name, routers, targets)
}

// formatIncarnation returns a router's incarnation in the form of load reports.
func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }

// unlisted returns this router if the list does not name it. It then holds no roles, since no other router would ask
// it, unless it knows no other router.
func (t *Tracker) unlisted(alone bool) Router {
	self := t.self
	switch {
	case t.leaving:
		self.State = Leaving
	case alone:
		self.State = Up
	default:
		self.State = Down
	}
	return self
}

// routerState returns the state of a listed router as of the last tick.
func (t *Tracker) routerState(name string) State {
	if state, known := t.states[name]; known && name != t.self.Name {
		return state
	}
	return Up
}
