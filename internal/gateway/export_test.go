package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/forward"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/registry"
	"github.com/chicorydale/chicorydale/internal/route"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

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
		isComplete: func(time.Time) bool { return true },
		decode: func(record topiclog.Record) (*route.Table, error) {
			version, err := strconv.ParseUint(string(record.Value), 10, 64)
			return route.NewTable(version, nil, nil, nil, route.Limits{}), err
		},
	}}
}

// NewRestoredConfigView returns a view that has confirmed its configuration, if isConfirmed is set, before the store came back from an older copy.
// The store is complete as of a time from which isComplete reports true.
func NewRestoredConfigView(maxRevocationDelay time.Duration, isConfirmed bool, isComplete func(time.Time) bool) ConfigView {
	view := NewConfigView(maxRevocationDelay)
	if isConfirmed {
		view.CaughtUp(boottime.Now())
	}
	view.isComplete = isComplete
	return view
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
	return PeerLinks{newPeerLinks(settings, topic, topiclog.NewEraTracker(), zerolog.Nop(), metric.New(), users)}
}

// Links returns the names of the routers that this one should be linked with.
func (p PeerLinks) Links() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups.Links(p.isUnreachable)
}

// FailLink handles a link that could not be opened.
func (p PeerLinks) FailLink(name string) {
	p.handleLinkEvent(link.Event{Peer: name, ConnectFailed: true})
}

// RetryRelays does the periodic work on relays at a time.
func (p PeerLinks) RetryRelays(now time.Time) { p.retryRelays(now) }

// Announce writes the router's record, and again whenever the store has lost it, until ctx ends.
func (p PeerLinks) Announce(ctx context.Context) { p.announce(ctx) }

// SendGate is what decides at one router whether a request with a quarantined fingerprint is sent.
type SendGate struct{ x *exchange }

// NewSendGate returns the gate of a router that claims probes in the topic. The seed determines the delays of its probes.
func NewSendGate(topic topiclog.ConditionalTopic, fingerprint, seed uint64) SendGate {
	suspects := newSuspects(quarantine.New(quarantine.DefaultLimits(), seed), zerolog.Nop())
	settlement := newEraSettlement(nil, topiclog.NewEraTracker(), zerolog.Nop())
	claims := &probeClaims{topic: topic, settlement: settlement, suspects: suspects, logger: zerolog.Nop()}
	g := &Gateway{suspects: suspects, claims: claims, logger: zerolog.Nop()}
	return SendGate{&exchange{gateway: g, fingerprints: []uint64{fingerprint}}}
}

// Admit reports whether the request may wait for a target.
func (s SendGate) Admit() bool { return s.x.admitSuspect() == nil }

// Authorize reports whether the request may be sent to the target that it got.
func (s SendGate) Authorize(ctx context.Context) bool { return s.x.authorizeSend(ctx) == nil }

// Sent records that the request was sent.
func (s SendGate) Sent() { s.x.takeProbe() }

// Unsent records that the request has ended and that no target got it.
func (s SendGate) Unsent() { s.x.returnProbe() }

// TakeBack takes back the claims of unsent probes, if the store answers, and reports whether it has to be called again.
func (s SendGate) TakeBack(ctx context.Context) (again bool) {
	return s.x.gateway.claims.writeUnsent(ctx)
}

// StoreRestored writes the claims of the router again that the store has lost.
func (s SendGate) StoreRestored(ctx context.Context) {
	s.x.gateway.claims.mayHaveLost.Store(true)
	s.x.gateway.claims.writeLost(ctx)
}

// RecordCrash records a crash of a target with the request.
func (s SendGate) RecordCrash(crash quarantine.Crash) {
	s.x.gateway.suspects.recordCrash(crash, s.x.fingerprints)
}

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
		origins: newStreamOrigins(newEraSettlement(nil, topiclog.NewEraTracker(), zerolog.Nop()), zerolog.Nop()), client: forward.NewClient(nil),
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

// BufferAnswer reads an answer of an unknown length with the memory of a reservation. It reports whether the answer was read completely.
func BufferAnswer(reservation *overload.BodyReservation, source io.Reader) (body []byte, whole bool) {
	body, err := bufferBody(source, -1, reservation)
	return body, err == nil
}
