package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/origin"
	"github.com/chicorydale/chicorydale/internal/route"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

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

// newExchange returns a request of a resumable stream.
func (s StreamOrigins) newExchange(info RequestInfo) *exchange {
	return &exchange{gateway: &Gateway{origins: s.streamOrigins}, route: &route.Route{Kind: route.ResumableStream}, info: info}
}

// End ends the request that began a stream. brokenOff tells whether the fleet has broken it off.
func (s StreamOrigins) End(requestID string, brokenOff bool) {
	x := s.newExchange(RequestInfo{ID: requestID})
	x.brokenOff = brokenOff
	x.spendStream()
}

// TakeUp takes up the stream of a request and reports whether the request that does so may exceed its customer's share.
func (s StreamOrigins) TakeUp(ctx context.Context, requestID, resumedID string) bool {
	x := s.newExchange(RequestInfo{ID: requestID, ResumedID: resumedID, LastEventID: "1"})
	_ = x.findOrigin(ctx) // A refusal leaves the request without the right to exceed a share.
	return x.mayExceedShare
}
