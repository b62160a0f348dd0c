package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/pool"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

// localRounds bounds how often the cores run in one tick to settle messages of the router to itself: demand, grant and
// decision take three.
const localRounds = 4

// Node is the decision core of one router.
type Node struct {
	self       string
	tracker    *membership.Tracker
	store      *config.Store
	queue      *entry.Queue
	scheduler  *pool.Scheduler
	batcher    *claim.Batcher
	holder     *claim.Claimer
	suspects   *suspect.Table
	outbox     *outbox
	contacts   contacts
	appends    appends
	version    uint64
	configured bool
	generation uint64
}

// New returns the node of a router. The incarnation is unique for each start of the router.
func New(self membership.Router, incarnation uint64, options ...Option) *Node {
	o := defaults()
	for _, option := range options {
		option(&o)
	}
	return &Node{
		self:      self.Name,
		tracker:   membership.NewTracker(self, incarnation, o.seed),
		store:     config.NewStore(config.WithRetention(o.retention), config.WithSeed(o.seed)),
		queue:     entry.NewQueue(self.Name, incarnation),
		scheduler: pool.New(self.Name, incarnation, pool.WithExchangePeriods(near, o.far)),
		batcher:   claim.NewBatcher(o.claims),
		holder:    claim.NewClaimer(self.Name, incarnation, o.claims),
		suspects:  suspect.NewTable(self.Name, suspect.DefaultLimits()),
		outbox:    newOutbox(self.Name),
		contacts:  make(contacts),
		appends:   newAppends(),
	}
}

// Queue returns the entry queue, to submit and end requests.
func (n *Node) Queue() *entry.Queue { return n.queue }

// Claimer returns the holder of claims.
func (n *Node) Claimer() *claim.Claimer { return n.holder }

// Store returns the configuration store.
func (n *Node) Store() *config.Store { return n.store }

// Tracker returns the membership tracker.
func (n *Node) Tracker() *membership.Tracker { return n.tracker }

// Scheduler returns the pool scheduler.
func (n *Node) Scheduler() *pool.Scheduler { return n.scheduler }

// Suspects returns the table of requests that crashed targets.
func (n *Node) Suspects() *suspect.Table { return n.suspects }

// View returns the current view of the fleet.
func (n *Node) View() membership.View { return n.tracker.View() }

// SetHostList takes over a snapshot of the platform's host list.
func (n *Node) SetHostList(now time.Time, list outside.HostList) { n.tracker.List(now, list) }

// ObserveLoad takes over a target's load report.
func (n *Node) ObserveLoad(now time.Time, target string, load outside.LoadReport) {
	n.tracker.ObserveLoad(now, target, load)
	n.scheduler.ObserveLoad(now, target, load)
}

// Connected notes a new session with a peer.
func (n *Node) Connected(now time.Time, peer string, incarnation uint64) {
	n.tracker.Connected(now, peer, incarnation)
	n.store.Connected(now, peer, incarnation)
	n.queue.Connected(now, peer, incarnation)
	n.scheduler.Connected(now, peer, incarnation)
	n.holder.Connected(now, peer, incarnation)
	n.suspects.Connected(now, peer, incarnation)
}

// Disconnected notes the end of a session; released is set if one side did not need it any more.
func (n *Node) Disconnected(now time.Time, peer string, released bool) {
	if released {
		n.tracker.SessionReleased(now, peer)
	} else {
		n.tracker.Disconnected(now, peer)
	}
	n.store.Disconnected(now, peer)
	n.queue.Disconnected(now, peer)
	n.scheduler.Disconnected(now, peer)
	n.holder.Disconnected(now, peer)
	n.suspects.Disconnected(now, peer)
}

// ConnectFailed notes that no session with a peer could be opened.
func (n *Node) ConnectFailed(now time.Time, peer string) { n.tracker.ConnectFailed(now, peer) }

// Receive takes one message of a peer to the cores that it is for.
func (n *Node) Receive(now time.Time, from string, body *fleetpb.Body) {
	n.tracker.Received(now, from)
	switch body.GetKind().(type) {
	case *fleetpb.Body_Heartbeat:
		n.tracker.Receive(now, from, body)
		n.store.Receive(now, from, body)
	case *fleetpb.Body_HostsOffer, *fleetpb.Body_HostsFetch:
		n.tracker.Receive(now, from, body)
	case *fleetpb.Body_ConfigOffer, *fleetpb.Body_ConfigFetch:
		n.store.Receive(now, from, body)
		n.reconfigure(now)
	case *fleetpb.Body_Grants:
		n.queue.Receive(now, from, body)
	case *fleetpb.Body_ClaimRequest:
		n.batcher.Receive(now, from, body)
	case *fleetpb.Body_ClaimVerdict:
		n.holder.Receive(now, from, body)
	case *fleetpb.Body_CrashRecords:
		n.suspects.Receive(now, from, body)
	default:
		n.scheduler.Receive(now, from, body)
	}
}

// Tick runs all cores and returns what they ask for.
func (n *Node) Tick(now time.Time) Output {
	var output Output
	n.reconfigure(now)
	n.announce()
	n.outbox.put(n.tracker.Tick(now))
	n.relocate(now)
	effects, results := n.store.Tick(now)
	output.PublishResults = results
	n.collect(now, &output, fromStore, effects)
	n.reconfigure(now)
	n.collect(now, &output, fromSuspects, n.suspects.Tick(now))
	for range localRounds {
		n.round(now, &output)
		local := n.outbox.takeLocal()
		if len(local) == 0 {
			break
		}
		for _, body := range local {
			n.Receive(now, n.self, body)
		}
	}
	output.Packets = n.outbox.takeRemote()
	for _, packet := range output.Packets {
		if n.contacts.note(packet, now) {
			n.tracker.Sent(now, packet.To)
		}
	}
	return output
}

// round runs the cores that may send messages to their own router.
func (n *Node) round(now time.Time, output *Output) {
	envelopes, decisions := n.queue.Tick(now)
	n.outbox.put(envelopes)
	output.Decisions = append(output.Decisions, decisions...)
	n.outbox.put(n.scheduler.Tick(now))
	asked, verdicts := n.holder.Tick(now)
	n.outbox.put(asked)
	output.ClaimVerdicts = append(output.ClaimVerdicts, verdicts...)
	n.collect(now, output, fromBatcher, n.batcher.Tick(now))
}

// collect adds a core's effects to the output.
func (n *Node) collect(_ time.Time, output *Output, source source, effects message.Effects) {
	n.outbox.put(effects.Envelopes)
	for _, wanted := range effects.Appends {
		output.Appends = append(output.Appends, n.appends.issue(source, wanted))
	}
}

// announce tells the tracker what the heartbeats say of the configuration.
func (n *Node) announce() {
	n.tracker.SetConfigStatus(n.store.State().Version(), n.store.Offset(), n.store.ReadAt())
}

// relocate hands a changed view to the cores.
func (n *Node) relocate(now time.Time) {
	if n.tracker.ViewGeneration() == n.generation {
		return
	}
	n.generation = n.tracker.ViewGeneration()
	view := n.tracker.View()
	n.queue.UpdateView(now, view)
	n.scheduler.UpdateView(now, view)
	n.batcher.UpdateView(now, view)
	n.holder.UpdateView(now, view)
	n.store.SetListedPeers(view.Peers())
	n.store.SetRegionPeers(view.RegionPeers())
}

// reconfigure hands a changed configuration to the cores.
func (n *Node) reconfigure(now time.Time) {
	state := n.store.State()
	if n.configured && state.Version() == n.version {
		return
	}
	n.configured, n.version = true, state.Version()
	customers, weights := resolve(state)
	n.queue.SetCustomers(now, customers)
	n.scheduler.SetWeights(now, weights)
}
