package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// maxFullMesh is the maximum number of routers that are all linked with each other.
	maxFullMesh = 128
	// relayRetryPause is the time for which another router takes the place of a relay of another group that cannot be reached.
	relayRetryPause = 10 * time.Second
	// tickInterval is the time between checks for messages that are due.
	tickInterval = 25 * time.Millisecond
	// heartbeatInterval is the time after which a peer that was sent no message gets a heartbeat.
	heartbeatInterval = 500 * time.Millisecond
	// announceRetryPause is the pause after a failed attempt to write this router's record.
	announceRetryPause = 500 * time.Millisecond
	// announceTimeout limits one attempt to write or remove the record.
	announceTimeout = 2 * time.Second
)

// routerRecord is the record in the store by which routers find each other.
type routerRecord struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"start"`
}

// linkUsers are the parts of a gateway that learn from other routers, or of them.
type linkUsers struct {
	scheduler *scheduler
	suspects  *suspects
	origins   *streamOrigins
	budgets   *retryBudgets
	lateness  *latenessMeter
	probe     *readProbe
	loads     *loadReports
}

// peerLinks manages the links to other routers. Over these links, routers exchange the messages of their dispatchers, crash
// records and the origins of streams, and share reads of the store.
type peerLinks struct {
	linkUsers

	routerName  string
	ownRecord   routerRecord
	logger      zerolog.Logger
	hub         *link.Hub
	routerTopic topiclog.Topic
	sharing     *topicSharing
	// lastSent holds the time of the last message to each linked peer. It belongs to the goroutine of handleEvents.
	lastSent map[string]time.Time

	// announceAgain holds a value while the store lacks this router's record although it was written.
	announceAgain chan struct{}

	mu sync.Mutex
	// announced is set while the store should hold this router's record.
	announced bool
	// routers holds the records of all routers by name, this router's included.
	routers map[string]routerRecord
	// groups divides the routers into groups, within which all are linked.
	groups membership.LinkGroups
	// unreachable holds the routers that could not be reached since the last session with them, with the time until which they are not
	// chosen as relays. Those of this router's group are not chosen before there is a session, since their links are always wanted.
	unreachable map[string]time.Time
}

// newPeerLinks returns the links of a router, none of which is open yet.
func newPeerLinks(
	settings Settings, routerTopic topiclog.Topic, eras *topiclog.EraTracker, logger zerolog.Logger, metrics *metric.Set, users linkUsers,
) *peerLinks {
	incarnation := rand.Uint64() | 1
	hub := link.NewHub(link.Peer{Name: settings.Host, Region: settings.Locality.Region, Zone: settings.Locality.Zone}, incarnation, metrics)
	return &peerLinks{
		routerName: settings.Host,
		ownRecord: routerRecord{
			Address: settings.LinkAddr.String(), Zone: settings.Locality.Zone, Region: settings.Locality.Region, Incarnation: incarnation,
		},
		logger:      logger,
		hub:         hub,
		linkUsers:   users,
		routerTopic: routerTopic,
		sharing: newTopicSharing(settings.Host, eras, logger, func(to string, body *fleetpb.Body) {
			hub.Send(to, []*fleetpb.Body{body})
		}),
		announceAgain: make(chan struct{}, 1),
		routers:       make(map[string]routerRecord),
		unreachable:   make(map[string]time.Time),
		lastSent:      make(map[string]time.Time),
	}
}

// Reset takes the newest record of every router. If this router's own is missing, for example because the store came back from an older
// copy, it is written again.
func (p *peerLinks) Reset(now time.Time, records []topiclog.Record) {
	p.mu.Lock()
	clear(p.routers)
	p.mu.Unlock()
	p.Apply(now, records)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, found := p.routers[p.routerName]; !found {
		p.requestAnnouncement()
	}
}

// requestAnnouncement makes this router's record be written again if the store should hold it. The caller must hold p.mu.
func (p *peerLinks) requestAnnouncement() {
	if !p.announced {
		return
	}
	select {
	case p.announceAgain <- struct{}{}:
	default: // It is requested already.
	}
}

// Apply takes newer records and updates the links.
func (p *peerLinks) Apply(_ time.Time, records []topiclog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range records {
		if record.Value == nil {
			delete(p.routers, record.Key)
			if record.Key == p.routerName { // The removal by an earlier start of this router was executed late.
				p.requestAnnouncement()
			}
			continue
		}
		var router routerRecord
		if err := json.Unmarshal(record.Value, &router); err != nil {
			event.RecordInvalid.Log(p.logger, "routers", record.Key, err)
			continue
		}
		p.routers[record.Key] = router
	}
	if len(records) > 0 {
		p.updateGroups()
		p.updateLinks()
		p.budgets.setRouterCount(len(p.routers))
		groups := p.groups
		p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
			dispatcher.SetRouters(now, p.routersByZone())
			dispatcher.SetLinkGroups(now, func(at dispatch.Locality) string { return groups.Name(at.Region, at.Zone) })
		})
	}
}

// updateGroups divides the known routers into groups. The caller must hold p.mu.
func (p *peerLinks) updateGroups() {
	routers := make([]membership.Router, 0, len(p.routers))
	for name, router := range p.routers {
		routers = append(routers, membership.Router{Name: name, Region: router.Region, Zone: router.Zone})
	}
	self := membership.Router{Name: p.routerName, Region: p.ownRecord.Region, Zone: p.ownRecord.Zone}
	p.groups = membership.NewLinkGroups(self, routers, maxFullMesh)
}

// routersByZone returns the number of known routers in each availability zone. The caller must hold p.mu.
func (p *peerLinks) routersByZone() map[string]int {
	byZone := make(map[string]int)
	for _, router := range p.routers {
		byZone[router.Zone]++
	}
	return byZone
}

// routerCount returns the number of routers that have a record.
func (p *peerLinks) routerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.routers)
}

// CaughtUp does nothing, because the links themselves show whether a router is reachable.
func (p *peerLinks) CaughtUp(boottime.Instant) {}

// Failed does nothing: the links stay open, and the handlers of the other topics log failures of the store.
func (p *peerLinks) Failed(time.Time, error) {}

// updateLinks selects the peers to link with from the known routers. The caller must hold p.mu.
func (p *peerLinks) updateLinks() {
	peers := make([]link.Peer, 0, len(p.routers))
	for name, router := range p.routers {
		if name != p.routerName {
			peers = append(peers, link.Peer{Name: name, Address: router.Address, Region: router.Region})
		}
	}
	p.hub.SetPeers(p.groups.Links(p.isUnreachable), peers)
	shards := p.groups.Shards(p.isUnreachable)
	p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, _ time.Time) { dispatcher.SetReportedCustomers(shards.Contains) })
}

// isUnreachable reports whether a router could not be reached lately. The caller must hold p.mu.
func (p *peerLinks) isUnreachable(name string) bool {
	_, found := p.unreachable[name]
	return found
}

// setReachable records that there is a session with a router.
func (p *peerLinks) setReachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isUnreachable(name) {
		delete(p.unreachable, name)
		p.updateLinks()
	}
}

// setUnreachable records that a session with a router has failed or could not be opened.
func (p *peerLinks) setUnreachable(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := !p.isUnreachable(name)
	p.unreachable[name] = now.Add(relayRetryPause)
	if changed {
		p.updateLinks()
	}
}

// retryRelays lets relays of other groups be chosen again when their pause has passed.
func (p *peerLinks) retryRelays(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for name, retryAt := range p.unreachable {
		if now.After(retryAt) && !p.isInOwnGroup(name) {
			delete(p.unreachable, name)
			changed = true
		}
	}
	if changed {
		p.updateLinks()
	}
}

// isInOwnGroup reports whether a known router is in this router's group. The caller must hold p.mu.
func (p *peerLinks) isInOwnGroup(name string) bool {
	router, known := p.routers[name]
	return known && p.groups.Name(router.Region, router.Zone) == p.groups.Name(p.ownRecord.Region, p.ownRecord.Zone)
}

// linksOtherGroup reports whether this router is linked with one of another group. It belongs to the goroutine of handleEvents.
func (p *peerLinks) linksOtherGroup() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.lastSent {
		if _, known := p.routers[name]; known && !p.isInOwnGroup(name) {
			return true
		}
	}
	return false
}

// announce writes this router's record, and again whenever the store has lost it, until ctx ends.
func (p *peerLinks) announce(ctx context.Context) {
	for ctx.Err() == nil {
		p.writeRecord(ctx)
		select {
		case <-p.announceAgain:
		case <-ctx.Done():
		}
	}
}

// setAnnounced sets whether the store should hold this router's record.
func (p *peerLinks) setAnnounced(announced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = announced
}

// writeRecord writes this router's record, and retries until the store has accepted it or ctx ends.
func (p *peerLinks) writeRecord(ctx context.Context) {
	value, err := json.Marshal(p.ownRecord)
	for ctx.Err() == nil {
		if err == nil {
			putCtx, cancel := context.WithDeadline(ctx, time.Now().Add(announceTimeout))
			err = p.routerTopic.Put(putCtx, p.routerName, value)
			cancel()
		}
		if err == nil {
			p.setAnnounced(true)
			return
		}
		event.AnnounceFailed.Log(p.logger, err)
		err = nil
		sleepUntil(ctx, time.Now().Add(announceRetryPause))
	}
}

// withdraw removes this router's record. If this fails, the only effect is that the other routers try
// for longer to connect to this one.
func (p *peerLinks) withdraw(ctx context.Context) {
	p.setAnnounced(false)
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(announceTimeout))
	defer cancel()
	if err := p.routerTopic.Put(ctx, p.routerName, nil); err != nil {
		event.AnnounceFailed.Log(p.logger, err)
	}
}

// handleEvents handles events of the links and sends messages that are due until ctx ends.
func (p *peerLinks) handleEvents(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case linkEvent := <-p.hub.Events():
			p.handleLinkEvent(linkEvent)
		case <-ticker.C:
			now := time.Now()
			p.retryRelays(now)
			p.sendDue(now, p.measureLateness(now))
		}
	}
}

// measureLateness returns how late this process is: with its periodic work, or with data that arrives.
func (p *peerLinks) measureLateness(now time.Time) time.Duration {
	lateness := max(p.lateness.recordRun(now, tickInterval), p.probe.delay(now))
	p.lateness.recordWorst(lateness)
	p.probe.send(now)
	return lateness
}

// handleLinkEvent passes a change or the messages of a link on to the topic sharing, the suspects, the origins of streams and the dispatcher.
func (p *peerLinks) handleLinkEvent(linkEvent link.Event) {
	switch {
	case linkEvent.Connected:
		event.LinkUp.Log(p.logger, linkEvent.Peer)
		p.setReachable(linkEvent.Peer)
		p.lastSent[linkEvent.Peer] = time.Now()
		p.sharing.peerConnected(linkEvent.Peer, linkEvent.Zone == p.ownRecord.Zone)
		p.suspects.peerConnected(linkEvent.Peer)
		p.suspects.setRelays(p.linksOtherGroup())
		p.origins.peerConnected(linkEvent.Peer, linkEvent.Zone)
		if linkEvent.Zone == p.ownRecord.Zone {
			p.loads.peerConnected(linkEvent.Peer)
		}
		p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
			dispatcher.AddPeer(now, dispatch.Peer{Name: linkEvent.Peer, Region: linkEvent.Region, Zone: linkEvent.Zone})
		})
	case linkEvent.Disconnected:
		event.LinkDown.Log(p.logger, linkEvent.Peer)
		if !linkEvent.Released {
			p.setUnreachable(time.Now(), linkEvent.Peer)
		}
		delete(p.lastSent, linkEvent.Peer)
		p.sharing.peerDisconnected(linkEvent.Peer)
		p.suspects.peerDisconnected(linkEvent.Peer)
		p.suspects.setRelays(p.linksOtherGroup())
		p.origins.peerDisconnected(linkEvent.Peer)
		p.loads.peerDisconnected(linkEvent.Peer)
		p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.RemovePeer(now, linkEvent.Peer) })
	case linkEvent.ConnectFailed:
		p.setUnreachable(time.Now(), linkEvent.Peer)
	default:
		p.handleMessages(linkEvent.Peer, linkEvent.Bodies)
	}
}

// handleMessages handles the messages of a peer. It reuses the array of bodies.
func (p *peerLinks) handleMessages(from string, bodies []*fleetpb.Body) {
	p.sharing.peerHeard(time.Now(), from)
	others := bodies[:0]
	for _, body := range bodies {
		switch {
		case p.origins.receive(from, body):
		case body.GetTopicRead() != nil:
			p.sharing.handleTopicRead(time.Now(), from, body.GetTopicRead())
		case body.GetTopicPage() != nil:
			p.sharing.handleTopicPage(from, body.GetTopicPage())
		case body.GetProcessorLoad() != nil:
			p.loads.receive(from, body.GetProcessorLoad())
		case body.GetCrashRecords() != nil:
			p.suspects.receive(from, body.GetCrashRecords().GetRecords())
		default:
			others = append(others, body)
		}
	}
	if len(others) == 0 {
		return
	}
	p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		for _, body := range others {
			dispatcher.Receive(now, from, body)
		}
	})
}

// sendDue answers held reads, sends crash records, origins of streams and the dispatcher's messages, and sends heartbeats to peers that were sent
// nothing else.
func (p *peerLinks) sendDue(now time.Time, lateness time.Duration) {
	p.sharing.answerDue(now)
	for _, envelope := range slices.Concat(p.suspects.tick(), p.origins.tick(), p.loads.tick(now, lateness)) {
		p.hub.Send(envelope.To, []*fleetpb.Body{envelope.Body})
		p.lastSent[envelope.To] = now
	}
	p.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) {
		for _, envelope := range dispatcher.Tick(now) {
			p.hub.Send(envelope.To, []*fleetpb.Body{envelope.Body})
			p.lastSent[envelope.To] = now
		}
	})
	for peer, sentAt := range p.lastSent {
		if now.Sub(sentAt) >= heartbeatInterval {
			p.lastSent[peer] = now
			heartbeat := &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{}}}
			p.hub.Send(peer, []*fleetpb.Body{heartbeat})
		}
	}
}
