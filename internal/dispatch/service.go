package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/engine"
)

const (
	// maxQueueDelay is the time within which queued requests should get a target. It limits the length of the queue.
	maxQueueDelay = 200 * time.Millisecond
	// maxRetryWait limits the time for which a retry or a resumed request may wait.
	maxRetryWait = 700 * time.Millisecond
	// maxWaitFraction limits the time for which a request may wait, as a fraction of the time to its objective.
	// minWaitFraction is the fraction that it may wait even if the answer is likely to be late.
	maxWaitFraction = 0.4
	minWaitFraction = 0.125
	// maxBacklogSeconds limits the unread prompt tokens sent to a target, in seconds of reading. A request that is sent to a
	// target cannot overtake those before it.
	maxBacklogSeconds = 0.05
	// contentionDivisor sets when requests compete for capacity: at most 1/contentionDivisor of the targets is available.
	contentionDivisor = 8
	// peerContentionDivisor is the same while requests wait at a peer.
	peerContentionDivisor = 3
	// stallFactor and stallSlack set how much longer than predicted the first byte may take before the target may count as
	// stalled.
	stallFactor = 4
	stallSlack  = 300 * time.Millisecond
)

// service is the state of one service and its targets.
type service struct {
	name string
	// nameHash identifies the service in messages to peers.
	nameHash uint32
	targets  []*targetState
	// sampler selects the candidates if the service has many targets.
	sampler *candidateSampler
	queue   *requestQueue
	// latency predicts the time to the first byte from the answers to this router.
	latency engine.LatencyModel
	// fetches predicts how long targets take to fetch tokens from each other's caches.
	fetches engine.FetchModel
	// ownFraction is the fraction of the fleet's demand that reaches this router.
	ownFraction float64
	// demand measures how often parts of prompts are asked for.
	demand *partDemand
	// readSpeed is the number of prompt tokens that a target reads per second, averaged over this router and its peers.
	readSpeed float64
	// kvCapacity is the KV capacity of each target in tokens, 0 if it is not known.
	kvCapacity int
	// startRate is the rate at which requests are given targets.
	startRate meter
	// sampleOffset is the index of the first target of the next availability estimate.
	sampleOffset int
	// eligible is the result of the last call of eligibleTargets. Its memory is reused by the next call.
	eligible []*targetState
	// holders are the cache holders of the request that is being decided on, one for each build. Their memory is reused.
	holders []cacheHolder
	// activities holds what the customers' requests did since the last report, by customer.
	activities map[string]*activity
}

// newService returns a service without targets.
func newService(name string, random *rand.Rand) *service {
	return &service{
		name: name, nameHash: hashName(name), queue: newRequestQueue(), readSpeed: engine.LatencyModel{}.TokensPerSecond(),
		sampler: newCandidateSampler(random), demand: newPartDemand(), ownFraction: 1, activities: make(map[string]*activity),
	}
}

// usesSampling reports whether decisions look only at a sample of the targets.
func (s *service) usesSampling() bool { return len(s.targets) > maxScannedTargets }

// candidates returns the targets to look at for a request. A sample may lack the targets of the only version that a request may go to,
// so such a request, which is rare, looks at all targets.
func (s *service) candidates(request *Request) []*targetState {
	if s.usesSampling() && request.Build == "" {
		return s.sampler.selectCandidates(request)
	}
	return s.targets
}

// recordReader records that a target reads a part of a prompt. Only the sampler needs it.
func (s *service) recordReader(partID uint64, state *targetState) {
	if s.usesSampling() {
		s.sampler.recordReader(partID, state)
	}
}

// waitDeadline returns the time until which a request may wait and still meet its objective. It assumes that the request's
// shared parts are cached. The wait is at least minWaitFraction and at most maxWaitFraction of the time to the objective. A
// request whose caller may have a part of the answer may wait for maxRetryWait regardless of its objective, up to its deadline.
func (s *service) waitDeadline(now time.Time, qr *queuedRequest) time.Time {
	request := &qr.request
	if qr.mayHavePart() {
		return now.Add(min(maxRetryWait, max(request.Deadline.Sub(now), 0)))
	}
	uncachedTokens := request.PromptTokens
	for _, part := range request.Parts {
		uncachedTokens -= part.Tokens
	}
	firstByteIn := s.latency.PredictFirstByte(max(float64(uncachedTokens), 0) + maxBacklogSeconds*s.readSpeed)
	untilObjective := request.Objective.Sub(now)
	wait := min(untilObjective-firstByteIn, time.Duration(float64(untilObjective)*maxWaitFraction))
	return now.Add(max(wait, time.Duration(float64(untilObjective)*minWaitFraction)))
}

// queueLimit returns the number of requests that may wait and are still likely to be served in time.
func (s *service) queueLimit(now time.Time) int {
	return max(int(s.startRate.rate(now)*maxQueueDelay.Seconds()), minQueueLimit)
}

// countAvailable returns the number of targets that could take a request now. In a large service it is estimated from a
// sample.
func (s *service) countAvailable(now time.Time) int {
	checked, step := len(s.targets), 1
	if s.usesSampling() {
		checked, step = availabilitySamples, max(len(s.targets)/availabilitySamples, 1)
	}
	count := 0
	for i := range checked {
		state := s.targets[(s.sampleOffset+i*step)%len(s.targets)]
		if state.takesRequests(now) && state.hasFreeSlot(now, noHeadroom) && s.hasShortBacklog(now, state, noHeadroom) &&
			state.isHealthy(now) {
			count++
		}
	}
	if s.usesSampling() {
		s.sampleOffset = (s.sampleOffset + 1) % len(s.targets)
	}
	return count * len(s.targets) / max(checked, 1)
}

// expectedFirstByte returns the predicted time to the first byte at a selected target.
func (s *service) expectedFirstByte(now time.Time, own Locality, selected *selection) time.Duration {
	return s.latency.PredictFirstByte(selected.target.backlog(now, s.readSpeed)+float64(selected.prefillTokens)) +
		s.fetches.Predict(selected.fetchTokens) + own.networkDelay(&selected.target.Target)
}

// recordLatency records the time to the first byte of a run's answer. A run that fetched tokens shows how long the fetch took, since the
// rest of its time is predicted by those that fetched none.
func (s *service) recordLatency(answered *run, elapsed time.Duration) {
	if answered.fetchTokens > 0 {
		expected := s.latency.PredictFirstByte(float64(answered.tokensBeforeFirstByte))
		s.fetches = s.fetches.WithObservation(answered.fetchTokens, elapsed-expected)
		return
	}
	s.latency = s.latency.WithObservation(engine.Observation{
		PromptTokens: answered.prefillTokens, TokensBefore: answered.tokensBeforeFirstByte, Elapsed: elapsed,
	})
}

// isContended reports whether requests compete for capacity: some wait, or few targets are available.
func (s *service) isContended(now time.Time) bool {
	return s.queue.length > 0 || s.countAvailable(now) <= len(s.targets)/contentionDivisor
}

// hasShortBacklog reports whether a target is expected to read all unread tokens within maxBacklogSeconds and the headroom.
func (s *service) hasShortBacklog(now time.Time, state *targetState, extra headroom) bool {
	return state.backlog(now, s.readSpeed) <= extra.backlogLimit(maxBacklogSeconds*s.readSpeed)
}
