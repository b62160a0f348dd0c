package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/metric"
)

const (
	// meshLimit is the number of routers up to which all of them are linked with each other. In larger fleets a router
	// is linked with those of its region, and beyond that with those of its availability zone.
	meshLimit = 128
	// tickPeriod is the time between looks for messages that are due.
	tickPeriod = 25 * time.Millisecond
	// heartbeatPeriod is the time after which a peer that was sent nothing gets a heartbeat.
	heartbeatPeriod = 500 * time.Millisecond
	// announcePause is the pause after a failed attempt to announce this router.
	announcePause = 500 * time.Millisecond
	// announceLimit bounds one attempt.
	announceLimit = 2 * time.Second
)

// neighbour is the record by which routers find each other.
type neighbour struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Start   uint64 `json:"start"`
}

// neighbours keep the links to the other routers, over which each tells what it has at targets.
type neighbours struct {
	self      string
	own       neighbour
	logger    zerolog.Logger
	hub       *link.Hub
	scheduler *scheduler
	topic     keyed.Topic
	late      *lag
	sharing   *sharing
	// spoken holds the instant of the last message to each linked peer; it belongs to the goroutine that moves messages.
	spoken map[string]time.Time

	mu    sync.Mutex
	known map[string]neighbour
}

// newNeighbours returns the links of a router, of which none is open.
func newNeighbours(s Settings, topic keyed.Topic, logger zerolog.Logger, scheduler *scheduler, metrics *metric.Set,
	late *lag,
) *neighbours {
	start := rand.Uint64() | 1
	hub := link.New(link.Peer{Name: s.Host, Region: s.Place.Region, Zone: s.Place.Zone}, start, metrics)
	return &neighbours{
		self:      s.Host,
		own:       neighbour{Address: s.LinkAddr.String(), Zone: s.Place.Zone, Region: s.Place.Region, Start: start},
		logger:    logger,
		hub:       hub,
		scheduler: scheduler,
		topic:     topic,
		late:      late,
		sharing: newSharing(s.Host, logger, func(to string, body *fleetpb.Body) {
			hub.Send(to, []*fleetpb.Body{body})
		}),
		known:  make(map[string]neighbour),
		spoken: make(map[string]time.Time),
	}
}

// Reset takes the newest record of every router.
func (n *neighbours) Reset(now time.Time, records []keyed.Record) {
	n.mu.Lock()
	clear(n.known)
	n.mu.Unlock()
	n.Apply(now, records)
}

// Apply takes newer records.
func (n *neighbours) Apply(_ time.Time, records []keyed.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, record := range records {
		if record.Value == nil {
			delete(n.known, record.Key)
			continue
		}
		var read neighbour
		if err := json.Unmarshal(record.Value, &read); err != nil {
			event.RecordInvalid.Log(n.logger, "routers", record.Key, err)
			continue
		}
		n.known[record.Key] = read
	}
	if len(records) > 0 {
		n.connect()
	}
}

// CaughtUp does nothing: links show themselves whether a router is there.
func (n *neighbours) CaughtUp(boottime.Instant) {}

// Failed does nothing: the links stay, and the other topics tell of the store.
func (n *neighbours) Failed(time.Time, error) {}

// connect links this router with its peers.
func (n *neighbours) connect() {
	var wanted []string
	var peers []link.Peer
	region, zone := 0, 0
	for _, each := range n.known {
		if each.Region == n.own.Region {
			region++
		}
		if each.Zone == n.own.Zone {
			zone++
		}
	}
	for name, each := range n.known {
		if name == n.self {
			continue
		}
		peers = append(peers, link.Peer{Name: name, Address: each.Address, Region: each.Region})
		near := len(n.known) <= meshLimit || each.Region == n.own.Region && region <= meshLimit || each.Zone == n.own.Zone
		if near {
			wanted = append(wanted, name)
		}
	}
	n.hub.Connect(wanted, peers)
}

// announce writes this router's record until the store has it.
func (n *neighbours) announce(ctx context.Context) {
	value, err := json.Marshal(n.own)
	for ctx.Err() == nil {
		if err == nil {
			limited, cancel := context.WithDeadline(ctx, time.Now().Add(announceLimit))
			err = n.topic.Put(limited, n.self, value)
			cancel()
		}
		if err == nil {
			return
		}
		event.AnnounceFailed.Log(n.logger, err)
		err = nil
		pause(ctx, time.Now().Add(announcePause))
	}
}

// withdraw removes this router's record. Without it the others only try to link for longer.
func (n *neighbours) withdraw(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(announceLimit))
	defer cancel()
	if err := n.topic.Put(ctx, n.self, nil); err != nil {
		event.AnnounceFailed.Log(n.logger, err)
	}
}

// run moves messages until the context ends.
func (n *neighbours) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case happened := <-n.hub.Events():
			n.apply(happened)
		case <-ticker.C:
			now := time.Now()
			n.late.note(now, tickPeriod)
			n.tick(now)
		}
	}
}

// apply hands what happened on a link to the dispatcher.
func (n *neighbours) apply(happened link.Event) {
	switch {
	case happened.Connected:
		event.LinkUp.Log(n.logger, happened.Peer)
		n.spoken[happened.Peer] = time.Now()
		n.sharing.connected(happened.Peer, happened.Zone == n.own.Zone)
		n.scheduler.do(func(core *dispatch.Dispatcher, now time.Time) {
			core.Connected(now, dispatch.Peer{Name: happened.Peer, Region: happened.Region})
		})
	case happened.Disconnected:
		event.LinkDown.Log(n.logger, happened.Peer)
		delete(n.spoken, happened.Peer)
		n.sharing.disconnected(happened.Peer)
		n.scheduler.do(func(core *dispatch.Dispatcher, _ time.Time) { core.Disconnected(happened.Peer) })
	case happened.Failed:
	default:
		n.receive(happened.Peer, happened.Bodies)
	}
}

// receive takes the messages of a peer.
func (n *neighbours) receive(from string, bodies []*fleetpb.Body) {
	activities := bodies[:0]
	for _, body := range bodies {
		switch {
		case body.GetTopicRead() != nil:
			n.sharing.asked(time.Now(), from, body.GetTopicRead())
		case body.GetTopicPage() != nil:
			n.sharing.answered(from, body.GetTopicPage())
		default:
			activities = append(activities, body)
		}
	}
	if len(activities) == 0 {
		return
	}
	n.scheduler.do(func(core *dispatch.Dispatcher, now time.Time) {
		for _, body := range activities {
			core.Receive(now, from, body)
		}
	})
}

// tick sends what is due.
func (n *neighbours) tick(now time.Time) {
	n.sharing.tick(now)
	n.scheduler.do(func(core *dispatch.Dispatcher, now time.Time) {
		for _, envelope := range core.Tick(now) {
			n.hub.Send(envelope.To, []*fleetpb.Body{envelope.Body})
			n.spoken[envelope.To] = now
		}
	})
	for peer, at := range n.spoken {
		if now.Sub(at) >= heartbeatPeriod {
			n.spoken[peer] = now
			beat := &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: &fleetpb.Heartbeat{}}}
			n.hub.Send(peer, []*fleetpb.Body{beat})
		}
	}
}
