package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

const (
	// maxOriginWait limits the time that a request waits for the answers of peers. A round trip between regions takes about 25 ms, and
	// messages wait for a tick at both ends.
	maxOriginWait = 200 * time.Millisecond
	// originRetention is how long after the deadline of a request a caller may still take up its stream.
	originRetention = 15 * time.Second
)

// streamOrigins makes a directory of the origins of streams safe for concurrent use and waits for the answers of peers.
type streamOrigins struct {
	settlement *eraSettlement
	logger     zerolog.Logger

	mu        sync.Mutex
	directory *origin.Directory
	builds    *origin.Builds
	// listedAsOf is the time as of which the list of targets is complete.
	listedAsOf time.Time
	// confirmations tells which marks of builds are the only ones.
	confirmations *origin.Confirmations
	// waiters holds the channels to close when the question for a stream has ended.
	waiters map[origin.StreamID][]chan struct{}
	// marksLoaded and streamsLoaded are set when the marks of builds and the origins of streams were read from the store. loaded is
	// closed when both were.
	marksLoaded, streamsLoaded bool
	loaded                     chan struct{}
	// wanted holds the builds to mark, with the time until which streams wait for the mark. markWanted wakes the writer of marks.
	wanted     map[origin.Origin]time.Time
	markWanted chan struct{}
	// marksChanged is closed and replaced when marks were added.
	marksChanged chan struct{}
	// saveWanted wakes the writer of origins. saveChanged is closed and replaced at the end of a write. saveFails is set while the store does
	// not answer writes in time.
	saveWanted  chan struct{}
	saveChanged chan struct{}
	saveFails   bool
}

// newStreamOrigins returns streamOrigins that know no stream.
func newStreamOrigins(settlement *eraSettlement, logger zerolog.Logger) *streamOrigins {
	return &streamOrigins{
		settlement: settlement, logger: logger, directory: origin.New(), builds: origin.NewBuilds(), waiters: make(map[origin.StreamID][]chan struct{}),
		loaded: make(chan struct{}), wanted: make(map[origin.Origin]time.Time), markWanted: make(chan struct{}, 1),
		marksChanged: make(chan struct{}), confirmations: origin.NewConfirmations(),
		saveWanted: make(chan struct{}, 1), saveChanged: make(chan struct{}),
	}
}

// withDirectory calls action with exclusive access to the directory and the current time, and wakes those whose questions have ended.
func (s *streamOrigins) withDirectory(action func(directory *origin.Directory, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.directory, time.Now())
	for _, stream := range s.directory.TakeAnswered() {
		for _, waiter := range s.waiters[stream] {
			close(waiter)
		}
		delete(s.waiters, stream)
	}
}

// record records the origin of a stream that is sent to a target.
func (s *streamOrigins) record(stream origin.StreamID, from origin.Origin, expiresAt time.Time) {
	s.withDirectory(func(directory *origin.Directory, now time.Time) { directory.Record(now, stream, from, expiresAt) })
}

// begin records that the caller of a stream is about to get a part of it.
func (s *streamOrigins) begin(stream origin.StreamID) {
	s.withDirectory(func(directory *origin.Directory, _ time.Time) { directory.Begin(stream) })
}

// spend records that a stream may no longer be taken up beyond its customer's share, and reports whether it could be until now.
func (s *streamOrigins) spend(stream origin.StreamID) (first bool) {
	s.withDirectory(func(directory *origin.Directory, now time.Time) { first = directory.Spend(now, stream) })
	return first
}

// find returns the origin of a stream, and whether it is known. It asks the peers if this router does not know it, and waits for the origins
// of the store if they were not read yet.
func (s *streamOrigins) find(ctx context.Context, stream origin.StreamID) (origin.Origin, bool) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(maxOriginWait))
	defer cancel()
	if from, known := s.askPeers(ctx, stream); known {
		return from, known
	}
	select {
	case <-s.loaded:
	case <-ctx.Done():
	}
	return s.lookUp(stream)
}

// lookUp returns the origin of a stream that this router knows.
func (s *streamOrigins) lookUp(stream origin.StreamID) (from origin.Origin, known bool) {
	s.withDirectory(func(directory *origin.Directory, now time.Time) { from, known = directory.Find(now, stream) })
	return from, known
}

// askPeers returns the origin of a stream that this router or a linked peer knows.
func (s *streamOrigins) askPeers(ctx context.Context, stream origin.StreamID) (from origin.Origin, known bool) {
	var answered chan struct{}
	s.withDirectory(func(directory *origin.Directory, now time.Time) {
		if from, known = directory.Find(now, stream); !known && directory.Ask(stream) > 0 {
			answered = make(chan struct{})
			s.waiters[stream] = append(s.waiters[stream], answered)
		}
	})
	if answered == nil {
		return from, known
	}
	select {
	case <-answered:
	case <-ctx.Done():
	}
	s.withDirectory(func(directory *origin.Directory, now time.Time) {
		s.removeWaiter(stream, answered)
		from, known = directory.Find(now, stream)
	})
	return from, known
}

// removeWaiter removes a waiter, and ends the question when nobody waits for its answer. The caller must hold s.mu.
func (s *streamOrigins) removeWaiter(stream origin.StreamID, waiter chan struct{}) {
	waiting, found := s.waiters[stream]
	if !found {
		return
	}
	waiting = slices.DeleteFunc(waiting, func(other chan struct{}) bool { return other == waiter })
	if len(waiting) == 0 {
		delete(s.waiters, stream)
		s.directory.EndQuestion(stream)
		return
	}
	s.waiters[stream] = waiting
}

// receive handles a message of a peer and reports whether it concerns the origins of streams.
func (s *streamOrigins) receive(from string, body *fleetpb.Body) bool {
	received, query := body.GetStreamOrigins(), body.GetStreamOriginQuery()
	if received == nil && query == nil {
		return false
	}
	invalid := 0
	s.withDirectory(func(directory *origin.Directory, now time.Time) {
		invalid = directory.ReceiveOrigins(now, from, received)
		directory.ReceiveQuery(now, from, query)
	})
	if invalid > 0 {
		event.RecordInvalid.Log(s.logger, "stream origins", from, fmt.Sprintf("%d of %d records", invalid, len(received.GetOrigins())))
	}
	return true
}

// peerConnected starts to share origins with a peer.
func (s *streamOrigins) peerConnected(peer, zone string) {
	s.withDirectory(func(directory *origin.Directory, now time.Time) { directory.Connected(now, peer, zone) })
}

// peerDisconnected stops to share origins with a peer.
func (s *streamOrigins) peerDisconnected(peer string) {
	s.withDirectory(func(directory *origin.Directory, _ time.Time) { directory.Disconnected(peer) })
}

// tick returns the messages to peers that are due.
func (s *streamOrigins) tick() []message.Envelope {
	var envelopes []message.Envelope
	s.withDirectory(func(directory *origin.Directory, now time.Time) { envelopes = directory.Tick(now) })
	return envelopes
}

// setTargets records the builds of the listed targets.
func (s *streamOrigins) setTargets(targets []dispatch.Target) {
	listed := make([]origin.Origin, 0, len(targets))
	for i := range targets {
		listed = append(listed, origin.Origin{Service: targets[i].Service, Build: targets[i].Build})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds.Set(time.Now(), listed)
}

// targetsListed records that the list of targets is complete as of a time.
func (s *streamOrigins) targetsListed(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf.After(s.listedAsOf) {
		s.listedAsOf = asOf
	}
}

// onlyBuild returns the only build of a service at which streams may have begun. It is empty if there are several or none, or if this is
// not known because the store was not read yet, or may lack the mark and the targets of another build. A build without a mark does not count
// while the only mark is confirmed.
func (s *streamOrigins) onlyBuild(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marksLoaded || !s.streamsLoaded {
		return ""
	}
	if confirmed := s.confirmations.Last().OnlyBuild(service); confirmed != "" {
		return confirmed
	}
	if builds := s.builds.Of(time.Now(), service); len(builds) == 1 && s.settlement.covers(s.listedAsOf) {
		return builds[0]
	}
	return ""
}

// streamID returns the ID of the stream that the request begins or takes up.
func (x *exchange) streamID() origin.StreamID {
	if x.takesUpStream() && x.info.ResumedID != "" {
		return origin.NewStreamID(x.info.ResumedID)
	}
	return origin.NewStreamID(x.info.ID)
}

// takesUpStream reports whether the caller takes up a stream of which it has a part.
func (x *exchange) takesUpStream() bool {
	return x.route.Kind == route.ResumableStream && x.info.LastEventID != ""
}

// spendStream records at the end of a request that its stream has ended or that its caller has left. Only a stream that the fleet has broken
// off may be taken up beyond its customer's share: otherwise a customer could begin streams, leave them, and take them all up at once.
func (x *exchange) spendStream() {
	if x.route != nil && x.route.Kind == route.ResumableStream && !x.brokenOff {
		x.gateway.origins.spend(x.streamID())
	}
}

// findOrigin sets the service and the build at which a stream that the caller takes up has to go on, and the build at which a new one has to
// begin. It returns a refusal if a stream goes on and they are not known.
func (x *exchange) findOrigin(ctx context.Context) *refusal.Error {
	if !x.takesUpStream() {
		x.build = x.heldTo()
		return nil
	}
	var from origin.Origin
	known := false
	if x.info.ResumedID != "" {
		from, known = x.gateway.origins.find(ctx, x.streamID())
	}
	if known {
		x.mayExceedShare = x.gateway.origins.spend(x.streamID())
		x.build = from.Build
		if x.route.Serves(from.Service) {
			x.service = from.Service
		}
		return nil
	}
	if x.build = x.onlyBuild(ctx); x.build != "" {
		return nil
	}
	return refusal.New(refusal.NoTarget, "no router knows at which software version the stream began").
		WithRetryAt(x.originRetryAt(time.Now()))
}

// originRetryAt returns when the caller of a stream that no router knows should come back: once there is a complete list of targets, which is
// read every targetPollInterval.
func (x *exchange) originRetryAt(now time.Time) time.Time {
	retryAt := now.Add(retryAfter)
	if listedAt := x.gateway.origins.settlement.completeFrom().Add(targetPollInterval); listedAt.After(retryAt) {
		return listedAt
	}
	return retryAt
}

// heldTo returns the build at which a new stream has to begin for now, empty if any will do.
func (x *exchange) heldTo() string {
	if x.route.Kind != route.ResumableStream {
		return ""
	}
	return x.gateway.origins.heldTo(x.service)
}

// onlyBuild returns the only build at which the stream that the caller takes up may have begun. It is empty if there are several or none. The
// marks are read for it, because a router that was cut off or stood still knows fewer builds than there are.
func (x *exchange) onlyBuild(ctx context.Context) string {
	if x.gateway.origins.onlyBuild(x.service) == "" {
		return ""
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(maxOriginWait))
	defer cancel()
	if !x.gateway.buildMarks.reader.await(ctx) {
		return ""
	}
	return x.gateway.origins.onlyBuild(x.service)
}

// recordOrigin records that the target of a decision is about to begin the stream, or to continue it for the caller. It first waits until the
// target's build is marked. It reports false if the build could not be marked and the stream must not begin there, since another one is. If no
// other build is marked, the stream begins all the same, because the store does not answer.
func (x *exchange) recordOrigin(ctx context.Context, decision dispatch.Decision) bool {
	if x.route.Kind != route.ResumableStream || x.responseStarted {
		return true
	}
	from := origin.Origin{Service: decision.Target.Service, Build: decision.Target.Build}
	marked := x.gateway.origins.awaitMark(ctx, from)
	if !marked && x.build == "" && !x.gateway.origins.mayBeginUnmarked(from) {
		return false
	}
	x.gateway.origins.record(x.streamID(), from, x.deadline.Add(originRetention))
	return true
}

// beginStream records that the caller is about to get a part of the stream. If it is the first one, it waits until the store holds its origin.
func (x *exchange) beginStream() {
	x.gateway.origins.begin(x.streamID())
	if !x.takesUpStream() {
		x.gateway.origins.awaitSaved(x.r.Context(), x.streamID())
	}
}

// requiredStart returns the start of a target that must run the stream, zero if any may, and whether a target that does not tell its start
// must not. The record of a target that has started again may still name its earlier build, also if that is the only one that this router knows: a
// stream begins and goes on only at the start whose build is known, since that is recorded as its origin.
func (x *exchange) requiredStart(target dispatch.Target) (startUnixMilli int64, required bool) {
	if x.route.Kind != route.ResumableStream {
		return 0, false
	}
	return target.StartUnixMilli, x.responseStarted || x.takesUpStream()
}
