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

// requestTime is the time from the begin of a request to its deadline.
const requestTime = 10 * time.Second

// StreamOrigins exports the origins of streams of one router with what it keeps in the store.
type StreamOrigins struct {
	*streamOrigins

	marks      *buildMarks
	store      *originStore
	settlement *eraSettlement
}

// NewStreamOrigins returns the origins of a router that has read nothing from the topics.
func NewStreamOrigins(buildTopic topiclog.ConditionalTopic, originTopic, eraTopic topiclog.Topic) StreamOrigins {
	eras := topiclog.NewEraTracker()
	settlement := newEraSettlement(eraTopic, eras, zerolog.Nop())
	origins := newStreamOrigins(settlement, zerolog.Nop())
	return StreamOrigins{
		streamOrigins: origins, marks: newBuildMarks(buildTopic, origins, eras, zerolog.Nop()), settlement: settlement,
		store: &originStore{topic: originTopic, origins: origins, logger: zerolog.Nop(), routerCount: func() int { return 1 }},
	}
}

// Marks returns the handler of the topic of the builds.
func (s StreamOrigins) Marks() topiclog.Handler { return s.marks }

// Write writes marks and origins to the store until ctx ends.
func (s StreamOrigins) Write(ctx context.Context) {
	go s.marks.write(ctx)
	go s.settlement.record(ctx)
	s.store.writeUnsaved(ctx)
}

// Load reads the origins of streams in the store.
func (s StreamOrigins) Load(ctx context.Context) { s.store.load(ctx) }

// SetTargets sets the builds that the listed targets have, in a list that is complete now.
func (s StreamOrigins) SetTargets(targets ...dispatch.Target) {
	s.setTargets(targets)
	s.targetsListed(time.Now())
}

// AwaitMark waits until a build is marked and reports whether it is.
func (s StreamOrigins) AwaitMark(ctx context.Context, build origin.Origin) bool {
	return s.awaitMark(ctx, build)
}

// Begin records that a stream has begun that may be taken up until expiresAt.
func (s StreamOrigins) Begin(stream origin.StreamID, from origin.Origin, expiresAt time.Time) {
	s.record(stream, from, expiresAt)
	s.begin(stream)
}

// AwaitSaved waits until the store holds where a stream began.
func (s StreamOrigins) AwaitSaved(ctx context.Context, stream origin.StreamID) {
	s.awaitSaved(ctx, stream)
}

// Find returns the origin of a stream.
func (s StreamOrigins) Find(ctx context.Context, stream origin.StreamID) (origin.Origin, bool) {
	return s.find(ctx, stream)
}

// OnlyBuild returns the only build of a service at which streams may have begun.
func (s StreamOrigins) OnlyBuild(service string) string { return s.onlyBuild(service) }

// newExchange returns a request of a resumable stream.
func (s StreamOrigins) newExchange(info RequestInfo) *exchange {
	return &exchange{
		gateway: &Gateway{origins: s.streamOrigins, buildMarks: s.marks}, route: &route.Route{Kind: route.ResumableStream}, info: info,
		deadline: time.Now().Add(requestTime),
	}
}

// Follow keeps the marks up to date, and whether the store is complete, until ctx ends.
func (s StreamOrigins) Follow(ctx context.Context) {
	go topiclog.NewFollower(s.settlement.topic, s.settlement, routerPollWait, routerPollInterval).WithEras(s.marks.eras).Run(ctx)
	topiclog.NewFollower(s.marks.topic, s.marks, routerPollWait, markPollInterval).WithEras(s.marks.eras).Run(ctx)
}

// BeginStream has a stream begin at the first of the targets at which it may, and returns the build of that target, empty if there is none.
func (s StreamOrigins) BeginStream(ctx context.Context, requestID string, targets ...dispatch.Target) string {
	x := s.newExchange(RequestInfo{ID: requestID})
	x.service = targets[0].Service
	if x.findOrigin(ctx) != nil {
		return ""
	}
	for _, target := range targets {
		if (x.build == "" || x.build == target.Build) && x.recordOrigin(ctx, dispatch.Decision{Target: target}) && ctx.Err() == nil {
			s.begin(x.streamID())
			return target.Build
		}
		x.unsentAttempts++
	}
	return ""
}

// GoOn takes up the stream of a request and returns the build at which it has to go on, empty if it is refused.
func (s StreamOrigins) GoOn(ctx context.Context, service, resumedID string) string {
	x := s.newExchange(RequestInfo{ID: "again", ResumedID: resumedID, LastEventID: "1"})
	x.service = service
	if x.findOrigin(ctx) != nil {
		return ""
	}
	return x.build
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
