package gateway

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/forward"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/registry"
	"github.com/chicorydale/chicorydale/internal/route"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// CallerDisconnected reports whether the caller at the other end of a connection has closed it.
func CallerDisconnected(ctx context.Context, conn net.Conn) bool {
	return callerDisconnected(contextWithConn(ctx, conn))
}

// SplitEvents returns the complete events of a stream that arrives in chunks of chunkSize bytes, and the ID of the last
// one.
func SplitEvents(stream string, chunkSize int) (events, lastID string) {
	var splitter eventSplitter
	for len(stream) > 0 {
		chunk := stream[:min(chunkSize, len(stream))]
		stream = stream[len(chunk):]
		complete, _ := splitter.add([]byte(chunk)) // Only a resumed stream can fail.
		events += string(complete)
	}
	return events, splitter.lastID
}

// EndsInsideEvent reports whether a stream that arrives in chunks of chunkSize bytes ends inside an event.
func EndsInsideEvent(stream string, chunkSize int) bool {
	var boundary eventBoundary
	for len(stream) > 0 {
		chunk := stream[:min(chunkSize, len(stream))]
		stream = stream[len(chunk):]
		_ = boundary.add([]byte(chunk)) // The tests' events are short.
	}
	return boundary.inside()
}

// NewSheddingListener returns a listener whose connections go through the load shedder of a gateway. The gateway uses the
// given table, and requests of the customer count as refused for lack of capacity.
func NewSheddingListener(g *Gateway, table *route.Table, customer string, tcpListener net.Listener) net.Listener {
	g.config.table.Store(table)
	for range 100 {
		g.shedder.recordOutcome(customer, refusal.New(refusal.Overloaded, "no room"))
	}
	return g.newAcceptor(tcpListener, false)
}

// RetryBudgets exports the retry budgets of one router.
type RetryBudgets struct{ *retryBudgets }

// NewRetryBudgets returns a router's part of a fleet's retry budget.
func NewRetryBudgets(ratio, reserve float64) RetryBudgets {
	return RetryBudgets{newRetryBudgets(ratio, reserve)}
}

// SetRouterCount divides the reserve among a number of routers.
func (b RetryBudgets) SetRouterCount(count int) { b.setRouterCount(count) }

// RecordRequest counts a request for a service.
func (b RetryBudgets) RecordRequest(service string) { b.recordRequest(service) }

// TakeRetry takes one retry from a service's budget.
func (b RetryBudgets) TakeRetry(service string) bool { return b.takeRetry(service) }

// BackdateAccept moves the accept time of a caller's connection into the past.
func BackdateAccept(conn net.Conn, by time.Duration) {
	if accepted, ok := conn.(*callerConn); ok {
		accepted.acceptedAt = accepted.acceptedAt.Add(-by)
	}
}

// ReaderWeight exports readerWeight.
func ReaderWeight(router string) uint64 { return readerWeight(router) }

// TopicSharing exports the topic sharing of one router.
type TopicSharing struct{ *topicSharing }

// NewTopicSharing returns the topic sharing of a router without links.
func NewTopicSharing(routerName string, send func(to string, body *fleetpb.Body)) TopicSharing {
	return TopicSharing{newTopicSharing(routerName, zerolog.Nop(), send)}
}

// ShareTopic returns a topic that is read through a peer if possible.
func (s TopicSharing) ShareTopic(storeTopic topiclog.Topic) topiclog.Topic {
	return s.shareTopic("topic", storeTopic)
}

// ShareRareTopic is like ShareTopic for a topic that seldom changes.
func (s TopicSharing) ShareRareTopic(storeTopic topiclog.Topic) topiclog.Topic {
	return s.shareRareTopic("topic", storeTopic)
}

// ConnectPeer adds a linked peer of the same availability zone.
func (s TopicSharing) ConnectPeer(peer string) { s.peerConnected(peer, true) }

// DisconnectPeer removes a linked peer.
func (s TopicSharing) DisconnectPeer(peer string) { s.peerDisconnected(peer) }

// Receive handles a message of a peer.
func (s TopicSharing) Receive(from string, body *fleetpb.Body) {
	s.peerHeard(time.Now(), from)
	if body.GetHeartbeat() != nil {
		return
	}
	if read := body.GetTopicRead(); read != nil {
		s.handleTopicRead(time.Now(), from, read)
		return
	}
	s.handleTopicPage(from, body.GetTopicPage())
}

// AnswerDue answers the held reads that are due.
func (s TopicSharing) AnswerDue() { s.answerDue(time.Now()) }

// ResumeStream returns what a caller receives of a stream that breaks off at one target and is continued by another.
func ResumeStream(first, second string) (string, error) {
	var splitter eventSplitter
	firstEvents, err := splitter.add([]byte(first))
	if err != nil {
		return "", err
	}
	received := string(firstEvents)
	splitter.resume()
	secondEvents, err := splitter.add([]byte(second))
	return received + string(secondEvents), err
}

// ConfigView exports the configuration view of a router.
type ConfigView struct{ *configView }

// NewConfigView returns a view whose records hold a version number each, with the given maximum revocation delay.
func NewConfigView(maxRevocationDelay time.Duration) ConfigView {
	return ConfigView{&configView{
		logger: zerolog.Nop(), maxRevocationDelay: maxRevocationDelay, onNewTable: func(*route.Table) {},
		decode: func(record topiclog.Record) (*route.Table, error) {
			version, err := strconv.ParseUint(string(record.Value), 10, 64)
			return route.NewTable(version, nil, nil, nil, route.Limits{}), err
		},
	}}
}

// Fresh reports whether API keys are accepted.
func (v ConfigView) Fresh() bool { return v.fresh() }

// MaxLateness returns the largest delay of runs at the given times that are due once per period.
func MaxLateness(period time.Duration, runs ...time.Time) time.Duration {
	var meter latenessMeter
	for _, runAt := range runs {
		meter.recordRun(runAt, period)
	}
	return meter.takeWorst()
}

// PeerLinks is peerLinks for tests.
type PeerLinks struct{ *peerLinks }

// NewPeerLinks returns the links of a router that publishes its address in the topic.
func NewPeerLinks(routerName string, topic topiclog.Topic) PeerLinks {
	settings := Settings{Host: routerName}
	users := linkUsers{budgets: newRetryBudgets(0, 0), scheduler: newScheduler(dispatch.New(settings.Locality, 1))}
	return PeerLinks{newPeerLinks(settings, topic, zerolog.Nop(), metric.New(), users)}
}

// Announce writes the router's record, and again whenever the store has lost it, until ctx ends.
func (p PeerLinks) Announce(ctx context.Context) { p.announce(ctx) }

// SendGate is what decides at one router whether a request with a quarantined fingerprint is sent.
type SendGate struct{ x *exchange }

// NewSendGate returns the gate of a router that claims probes in the topic.
func NewSendGate(topic topiclog.ConditionalTopic, fingerprint uint64) SendGate {
	suspects := newSuspects(quarantine.New(quarantine.DefaultLimits(), rand.Uint64()), zerolog.Nop())
	g := &Gateway{suspects: suspects, claims: &probeClaims{topic: topic, suspects: suspects, logger: zerolog.Nop()}, logger: zerolog.Nop()}
	return SendGate{&exchange{gateway: g, fingerprints: []uint64{fingerprint}}}
}

// Admit reports whether the request may wait for a target.
func (s SendGate) Admit() bool { return s.x.admitSuspect() == nil }

// Authorize reports whether the request may be sent to the target that it got.
func (s SendGate) Authorize(ctx context.Context) bool { return s.x.authorizeSend(ctx) == nil }

// Sent records that the request was sent.
func (s SendGate) Sent() { s.x.endProbe() }

// RecordCrash records a crash of a target with the request.
func (s SendGate) RecordCrash(crash quarantine.Crash) {
	s.x.gateway.suspects.recordCrash(crash, s.x.fingerprints)
}

// CallerServer exports the HTTP server for callers with the set of their connections.
type CallerServer struct {
	*http.Server
	conns    *callerConns
	listener net.Listener
	accepted *lastConn
}

// lastConn is a listener that remembers the connection that it accepted last.
type lastConn struct {
	net.Listener
	conn atomic.Value
}

// Accept accepts a connection.
func (l *lastConn) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conn.Store(conn)
	}
	return conn, err
}

// ServeCallers serves callers on a listener as a gateway does, but with another handler. hold is called before and after each change
// of a connection's state is recorded.
func ServeCallers(
	g *Gateway, tcpListener net.Listener, hold func(state http.ConnState, before bool), handler http.Handler,
) CallerServer {
	accepted := &lastConn{Listener: g.newAcceptor(tcpListener, false)}
	server := g.newServer(handler)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		hold(state, true)
		g.callerConns.stateChanged(conn, state)
		hold(state, false)
	}
	go func() { _ = server.Serve(accepted) }()
	return CallerServer{Server: server, conns: g.callerConns, listener: tcpListener, accepted: accepted}
}

// Address returns the address of the server.
func (s CallerServer) Address() string { return s.listener.Addr().String() }

// CloseIdle closes idle connections as if it were called at the time now.
func (s CallerServer) CloseIdle(now time.Time, idleTimeout time.Duration) {
	s.conns.closeIdle(now, idleTimeout)
}

// Ending reports whether the connection that was accepted last ends unless data has arrived.
func (s CallerServer) Ending() bool {
	conn, _ := s.accepted.conn.Load().(*callerConn)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return !conn.endingSince.IsZero()
}

// AwaitData waits until unread data has arrived on the connection that was accepted last.
func (s CallerServer) AwaitData() {
	conn, _ := s.accepted.conn.Load().(net.Conn)
	AwaitData(conn)
}

// AwaitData waits until unread data has arrived on a caller's connection.
func AwaitData(conn net.Conn) {
	if accepted, ok := conn.(*callerConn); ok {
		peekReceived(accepted.TCPConn, make([]byte, 1))
	}
}

// AcceptCaller accepts a caller's connection as a gateway does.
func AcceptCaller(g *Gateway, tcpListener net.Listener) (net.Conn, error) {
	return g.newAcceptor(tcpListener, false).Accept()
}

// pollSignal is a listener that signals each check for connections that wait to be accepted.
type pollSignal struct {
	*net.TCPListener
	polled chan struct{}
}

// SyscallConn signals a check.
func (l *pollSignal) SyscallConn() (syscall.RawConn, error) {
	select {
	case l.polled <- struct{}{}:
	default:
	}
	return l.TCPListener.SyscallConn()
}

// Close closes the listener and ends the signals.
func (l *pollSignal) Close() error {
	defer close(l.polled)
	return l.TCPListener.Close()
}

// CloseWhenEmpty closes a listener in the background as a gateway that ends does, and then the channel closed. It returns a channel
// that receives a value at each check whether connections wait.
func CloseWhenEmpty(ctx context.Context, g *Gateway, tcpListener net.Listener, closed chan<- struct{}) <-chan struct{} {
	signal := &pollSignal{TCPListener: tcpListener.(*net.TCPListener), polled: make(chan struct{})} //nolint:forcetypeassert // As passed.
	go func() {
		defer close(closed)
		g.newAcceptor(signal, false).closeWhenEmpty(ctx)
	}()
	return signal.polled
}

// StreamOrigins exports the origins of streams of one router with what it keeps in the store.
type StreamOrigins struct {
	*streamOrigins

	marks *buildMarks
	store *originStore
}

// NewStreamOrigins returns the origins of a router that has read nothing from the topics.
func NewStreamOrigins(buildTopic, originTopic topiclog.Topic) StreamOrigins {
	origins := newStreamOrigins(zerolog.Nop())
	return StreamOrigins{
		streamOrigins: origins, marks: newBuildMarks(buildTopic, origins, zerolog.Nop()),
		store: &originStore{topic: originTopic, origins: origins, logger: zerolog.Nop(), routerCount: func() int { return 1 }},
	}
}

// Marks returns the handler of the topic of the builds.
func (s StreamOrigins) Marks() topiclog.Handler { return s.marks }

// Write writes marks and origins to the store until ctx ends.
func (s StreamOrigins) Write(ctx context.Context) {
	go s.marks.write(ctx)
	s.store.writeUnsaved(ctx)
}

// Load reads the origins of streams in the store.
func (s StreamOrigins) Load(ctx context.Context) { s.store.load(ctx) }

// SetTargets sets the builds that the listed targets have.
func (s StreamOrigins) SetTargets(targets ...dispatch.Target) { s.setTargets(targets) }

// AwaitMark waits until a build is marked and reports whether it is.
func (s StreamOrigins) AwaitMark(ctx context.Context, build origin.Origin) bool {
	return s.awaitMark(ctx, build)
}

// Begin records that a stream has begun that may be taken up until expiresAt.
func (s StreamOrigins) Begin(stream origin.StreamID, from origin.Origin, expiresAt time.Time) {
	s.record(stream, from, expiresAt)
	s.begin(stream)
}

// Find returns the origin of a stream.
func (s StreamOrigins) Find(ctx context.Context, stream origin.StreamID) (origin.Origin, bool) {
	return s.find(ctx, stream)
}

// OnlyBuild returns the only build of a service at which streams may have begun.
func (s StreamOrigins) OnlyBuild(service string) string { return s.onlyBuild(service) }

// Handovers is handovers for tests, at a router that is always late.
type Handovers struct{ *handovers }

// NewHandovers returns the handovers of a late router with one peer that has processor time, and a listener for the connections that it
// keeps.
func NewHandovers(peer, address string, readsWait bool) (Handovers, net.Listener) {
	return newTestHandovers(peer, handoverPeer{address: address, readsWait: readsWait}, 0)
}

// NewConfirmedHandovers is like NewHandovers with a peer that confirms connections. The callers' requests have a deadline after the timeout.
func NewConfirmedHandovers(peer, address string, timeout time.Duration) (Handovers, net.Listener) {
	return newTestHandovers(peer, handoverPeer{address: address, confirms: true}, timeout)
}

func newTestHandovers(peer string, at handoverPeer, timeout time.Duration) (Handovers, net.Listener) {
	kept := newConnQueue(func(conn *net.TCPConn, _ time.Time) net.Conn { return conn })
	parse := func(_ []byte, since time.Time) (string, time.Time) { return "id", since.Add(timeout) }
	h := newHandovers(zerolog.Nop(), 1000, 1, kept, new(readProbe), parse)
	h.setPeer(time.Now(), peer, at, time.Second)
	return Handovers{h}, kept
}

// EndOverdue ends the requests that were due at a time and have no complete answer.
func (h Handovers) EndOverdue(now time.Time) { h.endOverdue(now) }

// Take hands a connection over if a peer has processor time, and reports whether it did.
func (h Handovers) Take(conn *net.TCPConn) bool {
	h.mu.Lock()
	h.policy.RecordStartDelay(time.Now(), time.Second)
	h.mu.Unlock()
	return h.take(conn, time.Now())
}

// TakeOfCrowd is like Take at a router that is not late, but has got many connections at once.
func (h Handovers) TakeOfCrowd(conn *net.TCPConn) bool {
	h.unstarted.Store(1000)
	return h.take(conn, time.Now())
}

// TakeAcceptedAt is like Take for a connection that was accepted at a time in the past, at which the peer had processor time.
func (h Handovers) TakeAcceptedAt(conn *net.TCPConn, acceptedAt time.Time) bool {
	h.mu.Lock()
	h.policy.RecordStartDelay(acceptedAt, time.Second)
	for name := range h.peers {
		h.policy.RecordPeer(acceptedAt, name, time.Second)
	}
	h.mu.Unlock()
	return h.take(conn, acceptedAt)
}

// LosePeer records that the link to a peer has ended, and lets the given time pass.
func (h Handovers) LosePeer(name string, elapsed time.Duration) {
	now := time.Now()
	h.peerDisconnected(now, name)
	h.checkLost(now.Add(elapsed))
}

// Probed returns the number of open connections whose peers the kernel probes.
func (h Handovers) Probed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	probed := 0
	for passed := range h.open {
		raw, err := passed.target.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if enabled, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE); err == nil && enabled != 0 {
				probed++
			}
		})
	}
	return probed
}

// Stop makes the router keep all further connections.
func (h Handovers) Stop() { h.stop() }

// EndUnused ends the connections on which nothing has arrived, and returns the number of open ones.
func (h Handovers) EndUnused() int { return h.endUnused() }

// LogShortPause records a pause of a target that ends before the next periodic update, and runs that update.
func LogShortPause(logger zerolog.Logger, pause time.Duration) {
	notices := newTargetNotices(newScheduler(dispatch.New(dispatch.Locality{}, 1)), logger)
	target := dispatch.Target{Name: "t"}
	notices.record(target, &forward.ResponseInfo{PausedUntil: time.Now().Add(pause)})
	notices.update(time.Now().Add(time.Second), nil, metric.New())
}

// TargetDirectory is the directory of targets of a router.
type TargetDirectory struct{ *targetDirectory }

// NewTargetDirectory returns a directory whose records hold nothing but the names of targets as their keys.
func NewTargetDirectory() TargetDirectory {
	return TargetDirectory{&targetDirectory{
		logger: zerolog.Nop(), registry: registry.New(), scheduler: newScheduler(dispatch.New(dispatch.Locality{}, 1)),
		origins: newStreamOrigins(zerolog.Nop()), client: forward.NewClient(nil),
		decode: func(record topiclog.Record, _ time.Time) (dispatch.Target, error) {
			return dispatch.Target{Name: record.Key}, nil
		},
	}}
}

// Names returns the names of the usable targets in order.
func (d TargetDirectory) Names() []string { return slices.Sorted(maps.Keys(d.known)) }

// ReadBody reads a body of maxBytes, or of that size at most unless it is announced, with the memory of a reservation.
func ReadBody(
	ctx context.Context, reservation *overload.BodyReservation, source io.Reader, maxBytes int64, announced bool,
) ([]byte, error) {
	reader := &bodyReader{source: source, maxBytes: maxBytes, announced: announced, reservation: reservation}
	return reader.readAll(ctx)
}

// RefuseUnread refuses the request on an accepted connection.
func RefuseUnread(conn *net.TCPConn) { refuseUnread(conn, make([]byte, 4<<10)) }

// NewLateListener returns the listener of a gateway whose process handles data late. handedOver is set if other routers hand connections over.
func NewLateListener(g *Gateway, listener net.Listener, lateness time.Duration, handedOver bool) net.Listener {
	g.peers.probe.last = lateness
	return g.newAcceptor(listener, handedOver)
}

// EndLateness makes the process of a gateway handle data at once.
func EndLateness(g *Gateway) { g.peers.probe.received(g.peers.probe.sentAt) }

// ReadProbe exports the probe of a process.
type ReadProbe struct{ *readProbe }

// NewReadProbe returns an open probe.
func NewReadProbe() (ReadProbe, error) {
	p := new(readProbe)
	return ReadProbe{p}, p.open()
}

// Send sends a byte.
func (p ReadProbe) Send(now time.Time) { p.send(now) }

// Delay returns how late the process handles data.
func (p ReadProbe) Delay(now time.Time) time.Duration { return p.delay(now) }

// Close ends the probe.
func (p ReadProbe) Close() { p.close() }
