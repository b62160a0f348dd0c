package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/pool"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

// maxLocalRounds is the maximum number of times that the cores run in one tick to handle messages of the router to itself.
// Demand, grant and decision take three rounds.
const maxLocalRounds = 4

// Node holds the decision cores of one router and passes inputs, messages and results of appends between them. It is not safe for
// concurrent use, nor are the cores that its methods return.
type Node struct {
	self         string
	tracker      *membership.Tracker
	store        *config.Store
	queue        *requestqueue.Queue
	scheduler    *pool.Scheduler
	batcher      *claim.Batcher
	claimer      *claim.Claimer
	suspects     *suspect.Table
	outbox       *outbox
	linkExpiries linkExpiries
	appends      appendRegistry
	// configVersion is the version of the configuration that was passed to the cores last; it is valid if configApplied is set.
	configVersion uint64
	configApplied bool
	// viewGeneration is the generation of the view that was passed to the cores last.
	viewGeneration uint64
}

// New returns the node of a router. The incarnation must differ between starts of the router.
func New(self membership.Router, incarnation uint64, options ...Option) *Node {
	o := defaultOptions()
	for _, option := range options {
		option(&o)
	}
	return &Node{
		self:         self.Name,
		tracker:      membership.NewTracker(self, incarnation, o.seed),
		store:        config.NewStore(config.WithRetention(o.logRetention), config.WithSeed(o.seed)),
		queue:        requestqueue.NewQueue(self.Name, incarnation),
		scheduler:    pool.New(self.Name, incarnation, pool.WithExchangePeriods(regionPeriod, o.crossRegionPeriod)),
		batcher:      claim.NewBatcher(o.claimLimits),
		claimer:      claim.NewClaimer(self.Name, incarnation, o.claimLimits),
		suspects:     suspect.NewTable(self.Name, suspect.DefaultLimits()),
		outbox:       newOutbox(self.Name),
		linkExpiries: make(linkExpiries),
		appends:      newAppendRegistry(),
	}
}

// Queue returns the entry queue, in which requests are submitted and ended.
func (n *Node) Queue() *requestqueue.Queue { return n.queue }

// Claimer returns the claimer of idempotency keys.
func (n *Node) Claimer() *claim.Claimer { return n.claimer }

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

// SetHostList handles a snapshot of the platform's host list.
func (n *Node) SetHostList(now time.Time, list external.HostList) { n.tracker.SetHostList(now, list) }

// ObserveLoad handles a target's load report.
func (n *Node) ObserveLoad(now time.Time, target string, load external.LoadReport) {
	n.tracker.ObserveLoad(now, target, load)
	n.scheduler.ObserveLoad(now, target, load)
}

// Connected records a new session with a peer and the peer's incarnation.
func (n *Node) Connected(now time.Time, peer string, incarnation uint64) {
	n.tracker.Connected(now, peer, incarnation)
	n.store.Connected(now, peer, incarnation)
	n.queue.Connected(now, peer, incarnation)
	n.scheduler.Connected(now, peer, incarnation)
	n.claimer.Connected(now, peer, incarnation)
	n.suspects.Connected(now, peer, incarnation)
}

// Disconnected records the end of a session with a peer; released is set if one side ended it because it no longer needs it.
func (n *Node) Disconnected(now time.Time, peer string, released bool) {
	if released {
		n.tracker.SessionReleased(now, peer)
	} else {
		n.tracker.Disconnected(now, peer)
	}
	n.store.Disconnected(now, peer)
	n.queue.Disconnected(now, peer)
	n.scheduler.Disconnected(now, peer)
	n.claimer.Disconnected(now, peer)
	n.suspects.Disconnected(now, peer)
}

// ConnectFailed records that an attempt to open a session with a peer has failed.
func (n *Node) ConnectFailed(now time.Time, peer string) { n.tracker.ConnectFailed(now, peer) }

// Receive passes a message of a peer, or of this router itself, to the cores that handle its kind.
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
		n.applyConfigChange(now)
	case *fleetpb.Body_Grants:
		n.queue.Receive(now, from, body)
	case *fleetpb.Body_ClaimRequest:
		n.batcher.Receive(now, from, body)
	case *fleetpb.Body_ClaimVerdict:
		n.claimer.Receive(now, from, body)
	case *fleetpb.Body_CrashRecords:
		n.suspects.Receive(now, from, body)
	default:
		n.scheduler.Receive(now, from, body)
	}
}

// Tick runs all cores and returns what the caller has to do for them. Messages of the router to itself are handled in the same
// tick.
func (n *Node) Tick(now time.Time) Output {
	var output Output
	n.applyConfigChange(now)
	n.updateConfigStatus()
	n.outbox.add(n.tracker.Tick(now))
	n.applyViewChange(now)
	effects, publishResults := n.store.Tick(now)
	output.PublishResults = publishResults
	n.addEffects(now, &output, fromStore, effects)
	n.applyConfigChange(now)
	n.addEffects(now, &output, fromSuspects, n.suspects.Tick(now))
	for range maxLocalRounds {
		n.tickLocalCores(now, &output)
		localBodies := n.outbox.takeLocal()
		if len(localBodies) == 0 {
			break
		}
		for _, body := range localBodies {
			n.Receive(now, n.self, body)
		}
	}
	output.Packets = n.outbox.takeRemote()
	for _, packet := range output.Packets {
		if n.linkExpiries.extendOnSend(packet, now) {
			n.tracker.Sent(now, packet.To)
		}
	}
	return output
}

// tickLocalCores runs the cores that may send messages to their own router.
func (n *Node) tickLocalCores(now time.Time, output *Output) {
	envelopes, decisions := n.queue.Tick(now)
	n.outbox.add(envelopes)
	output.Decisions = append(output.Decisions, decisions...)
	n.outbox.add(n.scheduler.Tick(now))
	claimEnvelopes, claimVerdicts := n.claimer.Tick(now)
	n.outbox.add(claimEnvelopes)
	output.ClaimVerdicts = append(output.ClaimVerdicts, claimVerdicts...)
	n.addEffects(now, output, fromBatcher, n.batcher.Tick(now))
}

// addEffects adds a core's messages to the outbox and its appends to the output.
func (n *Node) addEffects(_ time.Time, output *Output, source appendSource, effects message.Effects) {
	n.outbox.add(effects.Envelopes)
	for _, request := range effects.Appends {
		output.Appends = append(output.Appends, n.appends.register(source, request))
	}
}

// updateConfigStatus passes the state of the configuration to the tracker, which sends it in heartbeats.
func (n *Node) updateConfigStatus() {
	n.tracker.SetConfigStatus(n.store.State().Version(), n.store.Offset(), n.store.ReadAt())
}

// applyViewChange passes the view to the cores if it has changed.
func (n *Node) applyViewChange(now time.Time) {
	if n.tracker.ViewGeneration() == n.viewGeneration {
		return
	}
	n.viewGeneration = n.tracker.ViewGeneration()
	view := n.tracker.View()
	n.queue.UpdateView(now, view)
	n.scheduler.UpdateView(now, view)
	n.batcher.UpdateView(now, view)
	n.claimer.UpdateView(now, view)
	n.store.SetListedPeers(view.Peers())
	n.store.SetRegionPeers(view.RegionPeers())
}

// applyConfigChange passes customers and weights to the cores if the configuration has changed.
func (n *Node) applyConfigChange(now time.Time) {
	state := n.store.State()
	if n.configApplied && state.Version() == n.configVersion {
		return
	}
	n.configApplied, n.configVersion = true, state.Version()
	customers, weights := resolveCustomers(state)
	n.queue.SetCustomers(now, customers)
	n.scheduler.SetWeights(now, weights)
}
