package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/registry"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// readHeaderTimeout limits the time in which a caller sends the headers of a request, maxHeaderBytes their size.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 16 << 10
	// configPollWait is how long the store holds a read of the configuration when there are no new records. A reply
	// confirms that the configuration was the newest one when the read was sent, so the last confirmation can be twice as
	// old as configPollWait.
	configPollWait = 700 * time.Millisecond
	// targetPollInterval is the pause between reads of the target records. All targets renew their records about once a
	// second.
	targetPollInterval = time.Second
	// routerPollWait is how long the store holds a read of the router records when there are no new ones.
	// routerPollInterval is the pause between reads, which limits the number of reads when many routers start at the same
	// time.
	routerPollWait     = 20 * time.Second
	routerPollInterval = time.Second
)

// Gateway accepts HTTP requests from callers and relays them to targets. Create it with New, call Listen if the addresses
// are needed before Run, and call Run once.
type Gateway struct {
	settings Settings
	adapters Adapters
	logger   zerolog.Logger
	// droppedLogLines returns the number of log lines dropped since the start of the process.
	droppedLogLines func() uint64
	metrics         *metric.Set
	config          *configView
	scheduler       *scheduler
	targets         *targetDirectory
	client          *forward.Client
	suspects        *suspects
	claims          *probeClaims
	origins         *streamOrigins
	buildMarks      *buildMarks
	originStore     *originStore
	quarantines     *quarantineStore
	crashes         *crashDetector
	notices         *targetNotices
	retryBudgets    *retryBudgets
	callerConns     *callerConns
	closedConns     *closedConns
	peers           *peerLinks
	lateness        *latenessMeter
	shedder         *loadShedder
	handovers       *handovers
	refuser         *unreadRefuser
	refusalLog      *refusalLog
	eras            *topiclog.EraTracker
	settlement      *eraSettlement
	bodies          *overload.BodyBudget
	// kept holds connections of callers that could not be handed over to a peer.
	kept *connQueue
	// usageAtLastLog belongs to the goroutine of runMaintenance.
	usageAtLastLog processUsage
	// streamBuffers holds buffers of type *[]byte with streamBufferBytes bytes.
	streamBuffers sync.Pool
	// openRequests is the number of requests of callers that are being handled.
	openRequests atomic.Int64
	draining     atomic.Bool
	// ending ends when the grace period of a drain is almost over, and endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
	// refuseAfter is the boottime.Instant after which a draining router refuses new requests.
	refuseAfter atomic.Int64
	// maintenanceRuns belongs to the goroutine of runMaintenance.
	maintenanceRuns int
	// listeners are for callers, readiness checks, metrics, links to other routers and connections that these hand over, in this order. The
	// last one is missing if there is no HandoverAddr.
	listeners []net.Listener
}

// New returns a gateway that uses the given adapters. It opens no ports. The function droppedLogLines returns the number
// of log lines dropped since the start of the process; it must be safe for concurrent use.
func New(settings Settings, adapters Adapters, logger zerolog.Logger, droppedLogLines func() uint64) *Gateway {
	scheduler := newScheduler(dispatch.New(settings.Locality, settings.Seed))
	client := forward.NewClient(adapters.Codec)
	metrics := metric.New()
	lateness := new(latenessMeter)
	budgets := newRetryBudgets(settings.RetryRatio, settings.RetryReserve)
	eras := topiclog.NewEraTracker()
	settlement := newEraSettlement(adapters.EraTopic, eras, logger)
	origins := newStreamOrigins(settlement, logger)
	suspects := newSuspects(quarantine.New(quarantine.DefaultLimits(), settings.Seed), logger)
	claims := &probeClaims{topic: adapters.ProbeTopic, settlement: settlement, suspects: suspects, logger: logger}
	g := &Gateway{
		settings:        settings,
		adapters:        adapters,
		logger:          logger,
		droppedLogLines: droppedLogLines,
		metrics:         metrics,
		config: &configView{
			decode: adapters.DecodeTable, logger: logger, maxRevocationDelay: settings.MaxRevocationDelay, onNewTable: scheduler.applyTable,
			isComplete: settlement.covers,
		},
		scheduler: scheduler,
		targets: &targetDirectory{
			decode: adapters.DecodeTarget, logger: logger, registry: registry.New(), scheduler: scheduler, origins: origins, client: client,
		},
		client:       client,
		suspects:     suspects,
		origins:      origins,
		claims:       claims,
		quarantines:  &quarantineStore{topic: adapters.QuarantineTopic, claims: claims, suspects: suspects, logger: logger},
		buildMarks:   newBuildMarks(adapters.BuildTopic, origins, eras, logger),
		crashes:      newCrashDetector(client, logger, suspects.recordCrash),
		notices:      newTargetNotices(scheduler, logger),
		retryBudgets: budgets,
		callerConns:  newCallerConns(settings.MaxOpenFiles),
		closedConns:  newClosedConns(metrics, logger, settings.MaxOpenFiles),
		lateness:     lateness,

		eras:          eras,
		settlement:    settlement,
		refusalLog:    newRefusalLog(logger),
		bodies:        overload.NewBodyBudget(settings.BodyMemory),
		streamBuffers: sync.Pool{New: func() any { return new(make([]byte, streamBufferBytes)) }},
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	probe := new(readProbe)
	g.shedder = newLoadShedder(g)
	g.kept = newConnQueue(func(accepted acceptedConn) net.Conn {
		return g.newAcceptor(nil, false).newCallerConn(accepted)
	})
	g.handovers = newHandovers(
		logger, settings.MaxOpenFiles, settings.Seed, settings.ProcessorShare, g.kept, probe, g.parseHandedOver, newStandings(scheduler).of,
		g.config.version,
	)
	g.refuser = newUnreadRefuser(g.handovers, settings.MaxOpenFiles)
	loads := &loadReports{
		handovers: g.handovers, logger: logger, share: settings.ProcessorShare, zonePeers: make(map[string]bool),
		rotation:  overload.NewRotation(),
		takesMore: func() bool { return !g.draining.Load() && g.config.Table() != nil && g.config.fresh() },
	}
	g.peers = newPeerLinks(settings, adapters.RouterTopic, eras, logger, metrics, linkUsers{scheduler, suspects, origins, budgets, lateness, probe, loads})
	g.originStore = &originStore{
		topic: topiclog.WithReadTimeout(adapters.OriginTopic), origins: origins, logger: logger, routerCount: g.peers.routerCount,
	}
	return g
}

// Addresses holds the addresses that a gateway listens on.
type Addresses struct {
	// Caller is for callers, Ready for readiness checks of the load balancer, Metrics for metrics, Link for links from
	// other routers.
	Caller, Ready, Metrics, Link netip.AddrPort
	// Handover is for connections of callers that other routers hand over. It is not valid if the router takes none.
	Handover netip.AddrPort
}

// Listen opens the ports of the gateway and returns their addresses, so that ports chosen by the kernel are known before
// Run is called.
func (g *Gateway) Listen(ctx context.Context) (Addresses, error) {
	// No TCP keep-alive is needed: dead connections are closed by the deadlines of requests and by the idle timeout.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	requested := []netip.AddrPort{g.settings.CallerAddr, g.settings.ReadyAddr, g.settings.MetricsAddr, g.settings.LinkAddr}
	if g.settings.HandoverAddr.IsValid() {
		requested = append(requested, g.settings.HandoverAddr)
	}
	bound := make([]netip.AddrPort, 0, len(requested))
	for _, address := range requested {
		listener, err := listenConfig.Listen(ctx, "tcp", address.String())
		if err != nil {
			for _, earlier := range g.listeners {
				_ = earlier.Close() // No connection has been served yet.
			}
			return Addresses{}, fmt.Errorf("listen on %s: %w", address, err)
		}
		g.listeners = append(g.listeners, listener)
		actual, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return Addresses{}, fmt.Errorf("listen on %s: %w", address, err)
		}
		bound = append(bound, actual)
	}
	g.peers.ownRecord.Address = bound[3].String()
	addresses := Addresses{Caller: bound[0], Ready: bound[1], Metrics: bound[2], Link: bound[3]}
	if len(bound) > handoverListener {
		addresses.Handover = bound[handoverListener]
		g.peers.loads.address = addresses.Handover.String()
	}
	return addresses, nil
}

// acceptorsPerListener is the number of goroutines that accept connections of callers. A process without processor time runs them as often as
// all others, and the connections that one of them cannot accept in its turn wait for the next one.
const acceptorsPerListener = 4

// handoverListener is the index of the listener for connections that other routers hand over.
const handoverListener = 4

// Run serves requests until ctx ends, then drains open requests and returns nil. If a server fails, Run returns its error
// without draining. Run calls Listen unless it was called before.
func (g *Gateway) Run(ctx context.Context) error {
	if g.listeners == nil {
		if _, err := g.Listen(ctx); err != nil {
			return err
		}
	}
	if err := g.peers.probe.open(); err != nil {
		return err
	}
	defer g.peers.probe.close()
	runCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	callerServer := g.newServer(http.HandlerFunc(g.serve))
	callerServer.ConnState = g.callerConns.stateChanged
	callerServer.ConnContext = contextWithConn
	callerServer.MaxHeaderBytes = maxHeaderBytes
	servers := []*http.Server{callerServer, g.newServer(http.HandlerFunc(g.serveReady)), g.newServer(g.metricsHandler())}
	serveErrors := make(chan error, len(g.listeners)+1+2*acceptorsPerListener) // For each listener, kept connections and each acceptor.
	go func() { serveErrors <- g.peers.hub.Serve(g.listeners[3]) }()
	for i, server := range servers[1:] {
		go func() { serveErrors <- server.Serve(g.listeners[i+1]) }()
	}
	go func() { serveErrors <- callerServer.Serve(g.kept) }()
	acceptors := g.newAcceptors()
	for _, acceptor := range acceptors {
		go func() { serveErrors <- callerServer.Serve(acceptor) }()
	}
	var tasks sync.WaitGroup
	configTopic, targetTopic := g.topicsToFollow()
	routerTopic := g.peers.sharing.shareRareTopic("routers", topiclog.WithReadTimeout(g.adapters.RouterTopic))
	quarantineTopic := g.peers.sharing.shareRareTopic("quarantines", topiclog.WithReadTimeout(g.adapters.QuarantineTopic))
	buildTopic := g.peers.sharing.shareRareTopic("builds", topiclog.WithReadTimeout(g.adapters.BuildTopic))
	eraTopic := g.peers.sharing.shareRareTopic("eras", topiclog.WithReadTimeout(g.adapters.EraTopic))
	for _, follower := range []*topiclog.Follower{
		topiclog.NewFollower(configTopic, g.config, configPollWait, 0),
		topiclog.NewFollower(targetTopic, g.targets, 0, targetPollInterval),
		topiclog.NewFollower(routerTopic, g.peers, routerPollWait, routerPollInterval),
		topiclog.NewFollower(quarantineTopic, g.quarantines, routerPollWait, routerPollInterval),
		topiclog.NewFollower(buildTopic, g.buildMarks, routerPollWait, markPollInterval),
		topiclog.NewFollower(eraTopic, g.settlement, routerPollWait, routerPollInterval),
	} {
		tasks.Go(func() { follower.WithEras(g.eras).Run(runCtx) })
	}
	tasks.Go(func() { g.quarantines.writeUnsaved(runCtx) })
	tasks.Go(func() { g.settlement.record(runCtx) })
	tasks.Go(func() { g.buildMarks.write(runCtx) })
	tasks.Go(func() { g.originStore.load(runCtx) })
	tasks.Go(func() { g.originStore.writeUnsaved(runCtx) })
	tasks.Go(func() { g.peers.announce(runCtx) })
	tasks.Go(func() { g.peers.handleEvents(runCtx) })
	tasks.Go(func() { g.runMaintenance(runCtx) })
	event.Started.Log(g.logger, g.settings.Locality.Zone, g.listeners[0].Addr().String(),
		g.listeners[1].Addr().String(), g.listeners[3].Addr().String())
	var err error
	select {
	case <-ctx.Done():
		g.drain(acceptors)
	case err = <-serveErrors:
		event.Failed.Log(g.logger, err)
	}
	stopTasks()
	g.peers.hub.Close()
	for _, server := range servers {
		_ = server.Close() // All requests have ended or their time is over.
	}
	tasks.Wait()
	g.closedConns.closeAll(time.Now())
	event.Stopped.Log(g.logger)
	return err
}

// topicsToFollow returns the topics of the configuration and of the targets. Their records are read through one router of
// the availability zone, unless MaxRevocationDelay is too short for the additional delay.
func (g *Gateway) topicsToFollow() (configTopic, targetTopic topiclog.Topic) {
	configTopic, targetTopic = topiclog.WithReadTimeout(g.adapters.ConfigTopic), topiclog.WithReadTimeout(g.adapters.TargetTopic)
	if g.settings.MaxRevocationDelay > 0 && g.settings.MaxRevocationDelay < minSharedRevocationDelay {
		return configTopic, targetTopic
	}
	sharing := g.peers.sharing
	return sharing.shareTopic("configuration", configTopic), sharing.shareTopic("targets", targetTopic)
}

// newServer returns an HTTP server for a handler.
func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		// The errors are discarded, because the server only logs those of connections that do not carry valid HTTP.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// newAcceptors returns acceptors for all listeners of callers' connections.
func (g *Gateway) newAcceptors() []*acceptor {
	limitBacklog(g.listeners[0])
	acceptors := make([]*acceptor, 0, 2*acceptorsPerListener)
	for range acceptorsPerListener {
		acceptors = append(acceptors, g.newAcceptor(g.listeners[0], false))
		if len(g.listeners) > handoverListener {
			acceptors = append(acceptors, g.newAcceptor(g.listeners[handoverListener], true))
		}
	}
	return acceptors
}

// newAcceptor returns an acceptor of callers' connections on a listener. handedOver is set if other routers have handed them over.
func (g *Gateway) newAcceptor(listener net.Listener, handedOver bool) *acceptor {
	return &acceptor{
		Listener: listener, callerConns: g.callerConns, shedder: g.shedder, handovers: g.handovers, handedOver: handedOver, refuser: g.refuser,
		cuts: &cutLog{logger: g.logger}, closedConns: g.closedConns, logger: g.logger,
	}
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	readAt := time.Now()
	arrivedAt := requestSince(r.Context(), readAt)
	x := &exchange{
		gateway: g, w: w, r: r, controller: http.NewResponseController(w), arrivedAt: arrivedAt, readAt: readAt, lastEventAt: arrivedAt,
	}
	defer x.recoverPanic()
	if g.draining.Load() || len(r.TransferEncoding) > 0 || wasHandedOver(r.Context()) {
		// A request with both Content-Length and Transfer-Encoding is ambiguous. The server uses the chunked encoding.
		// Closing the connection keeps bytes that another HTTP parser would count as part of the body from being read as
		// the next request.
		w.Header().Set("Connection", "close")
	}
	if g.refusesNewRequests(boottime.Now()) {
		x.refuse(drainRefusal())
		return
	}
	x.serve()
}

// recoverPanic logs a panic of the request handler, except http.ErrAbortHandler, and refuses the request if nothing was answered yet. Otherwise it panics
// with http.ErrAbortHandler so that the server closes the connection. It must be deferred.
func (x *exchange) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		event.Panicked.Log(x.gateway.logger, fmt.Sprint(value), stackTrace())
		x.gateway.scheduler.cancel(x.pending)
		if !x.headSent {
			x.refuse(refusal.New(refusal.Internal, "an unexpected error of the router").WithExecutionUnknown())
			return
		}
	}
	if !x.r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunks, so the response of a closed connection would look complete.
		resetOnClose(x.r.Context())
	}
	panic(http.ErrAbortHandler)
}

// ready reports whether the load balancer should send new connections. A router whose configuration is too old to check
// API keys, or that gets too little processor time, reports that it is not ready, so that callers reach other routers.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.config.Table() != nil && g.config.fresh() && !g.peers.loads.absent.Load()
}

// serveReady handles readiness checks of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsHandler returns the handler of the metrics endpoint.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metric.Handler(g.metrics.Registry()))
	return mux
}
