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

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/registry"
)

const (
	// headerLimit bounds the time in which a caller sends the headers of a request, headerBytes their size.
	headerLimit = 10 * time.Second
	headerBytes = 16 << 10
	// confirmWait is how long the store holds a read of the configuration without news. Each answer confirms that the
	// configuration was the newest one when it was asked for, so that the confirmation is up to twice as old.
	confirmWait = 700 * time.Millisecond
	// targetPace is the pause between reads of the targets, which all renew their records about once a second.
	targetPace = time.Second
	// routerWait is how long the store holds a read of the routers without news, routerPace the pause between reads: many
	// routers start at once.
	routerWait = 20 * time.Second
	routerPace = time.Second
)

// Gateway is one process that passes requests through.
type Gateway struct {
	settings  Settings
	outside   Adapters
	logger    zerolog.Logger
	dropped   func() uint64
	metrics   *metric.Set
	config    *configView
	scheduler *scheduler
	directory *directory
	client    *forward.Client
	budgets   *budgets
	callers   *callers
	peers     *neighbours
	lag       *lag
	door      *door
	refusals  *refusalLog
	used      processUse
	pieces    sync.Pool
	open      atomic.Int64
	draining  atomic.Bool
	// last is the Unix nanosecond from which a router that leaves takes no request.
	last      atomic.Int64
	looks     int
	listeners []net.Listener
}

// New returns the gateway of the settings with the given adapters. The function dropped tells how many log lines were
// dropped.
func New(s Settings, outside Adapters, logger zerolog.Logger, dropped func() uint64) *Gateway {
	scheduler := newScheduler(dispatch.New(s.Place, s.Seed))
	client := forward.NewClient(outside.Codec)
	metrics := metric.New()
	late := new(lag)
	g := &Gateway{
		settings: s,
		outside:  outside,
		logger:   logger,
		dropped:  dropped,
		metrics:  metrics,
		config: &configView{
			decode: outside.DecodeTable, logger: logger, bound: s.MaxRevocationDelay, applied: scheduler.configure,
		},
		scheduler: scheduler,
		directory: &directory{
			decode: outside.DecodeTarget, logger: logger, registry: registry.New(), scheduler: scheduler, client: client,
		},
		client:  client,
		budgets: newBudgets(s.RetryRatio, s.RetryReserve),
		callers: newCallers(s.MaxOpenFiles),
		peers:   newNeighbours(s, outside.RouterTopic, logger, scheduler, metrics, late),
		lag:     late,

		refusals: newRefusalLog(logger),
		pieces:   sync.Pool{New: func() any { return new(make([]byte, pieceBytes)) }},
	}
	g.door = newDoor(g)
	return g
}

// Addresses are the addresses that a gateway listens at.
type Addresses struct {
	// Caller is for callers, Ready for the load balancer, Metrics for metrics, Link for the other routers.
	Caller, Ready, Metrics, Link netip.AddrPort
}

// Listen opens the ports, so that their numbers are known before Run if the kernel chooses them.
func (g *Gateway) Listen(ctx context.Context) (Addresses, error) {
	// Callers that are gone show by their requests' deadlines and by the limit of idle connections.
	config := net.ListenConfig{KeepAlive: -1}
	wanted := []netip.AddrPort{g.settings.CallerAddr, g.settings.ReadyAddr, g.settings.MetricsAddr, g.settings.LinkAddr}
	opened := make([]netip.AddrPort, 0, len(wanted))
	for _, address := range wanted {
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			for _, earlier := range g.listeners {
				_ = earlier.Close() // It has served nothing.
			}
			return Addresses{}, fmt.Errorf("listen on %s: %w", address, err)
		}
		g.listeners = append(g.listeners, listener)
		actual, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return Addresses{}, fmt.Errorf("listen on %s: %w", address, err)
		}
		opened = append(opened, actual)
	}
	return Addresses{Caller: opened[0], Ready: opened[1], Metrics: opened[2], Link: opened[3]}, nil
}

// Run serves until the context ends, then drains and returns. It listens unless Listen was called before.
func (g *Gateway) Run(ctx context.Context) error {
	if g.listeners == nil {
		if _, err := g.Listen(ctx); err != nil {
			return err
		}
	}
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := g.server(http.HandlerFunc(g.serve))
	front.ConnState = g.callers.note
	front.ConnContext = withConnection
	front.MaxHeaderBytes = headerBytes
	servers := []*http.Server{front, g.server(http.HandlerFunc(g.serveReady)), g.server(g.serveMetrics())}
	failed := make(chan error, len(g.listeners))
	go func() { failed <- g.peers.hub.Serve(g.listeners[3]) }()
	g.listeners[0] = &acceptor{Listener: g.listeners[0], callers: g.callers, door: g.door, logger: g.logger}
	for i, server := range servers {
		go func() { failed <- server.Serve(g.listeners[i]) }()
	}
	var tasks sync.WaitGroup
	configuration, targets := g.shared()
	tasks.Go(func() { keyed.NewFollower(configuration, g.config, confirmWait, 0).Run(life) })
	tasks.Go(func() { keyed.NewFollower(targets, g.directory, 0, targetPace).Run(life) })
	tasks.Go(func() {
		keyed.NewFollower(keyed.WithReadTimeout(g.outside.RouterTopic), g.peers, routerWait, routerPace).Run(life)
	})
	tasks.Go(func() { g.peers.announce(life) })
	tasks.Go(func() { g.peers.run(life) })
	tasks.Go(func() { g.look(life) })
	event.Started.Log(g.logger, g.settings.Place.Zone, g.listeners[0].Addr().String(),
		g.listeners[1].Addr().String(), g.listeners[3].Addr().String())
	var err error
	select {
	case <-ctx.Done():
		g.drain(front)
	case err = <-failed:
		event.Failed.Log(g.logger, err)
	}
	stop()
	g.peers.hub.Close()
	for _, server := range servers {
		_ = server.Close() // All requests have ended, or the time for that is over.
	}
	tasks.Wait()
	event.Stopped.Log(g.logger)
	return err
}

// shared returns the topics that are read through one router of the availability zone, unless keys must be revoked too soon
// for that.
func (g *Gateway) shared() (configuration, targets keyed.Topic) {
	configuration, targets = keyed.WithReadTimeout(g.outside.ConfigTopic), keyed.WithReadTimeout(g.outside.TargetTopic)
	if g.settings.MaxRevocationDelay > 0 && g.settings.MaxRevocationDelay < leastRevocation {
		return configuration, targets
	}
	sharing := g.peers.sharing
	return sharing.share("configuration", configuration), sharing.share("targets", targets)
}

// server returns an HTTP server for a handler.
func (g *Gateway) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerLimit,
		// The errors that the server logs are those of callers that send something else than HTTP.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// serve answers one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{gateway: g, w: w, r: r, control: http.NewResponseController(w), arrived: time.Now()}
	defer x.recovered()
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		// A message with both a length and chunks could be read in two ways. The server takes the chunks; closing the
		// connection keeps what another reader takes for the rest of the body from being read as a request.
		w.Header().Set("Connection", "close")
	}
	if g.leaving(x.arrived) {
		x.refuse(refusal.New(refusal.ShuttingDown, "the router is about to end").WithRetry(x.arrived.Add(comeBack)))
		return
	}
	x.serve()
}

// recovered logs a panic of the handler. The server closes the connection.
func (x *exchange) recovered() {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		event.Panicked.Log(x.gateway.logger, fmt.Sprint(value), stack())
	}
	panic(http.ErrAbortHandler)
}

// ready tells whether the load balancer shall send new connections. A router whose configuration is too old leaves the
// callers to others.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.config.Table() != nil && g.config.fresh()
}

// serveReady answers the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics returns the handler of the metrics.
func (g *Gateway) serveMetrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metric.Handler(g.metrics.Registry()))
	return mux
}
