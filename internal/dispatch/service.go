package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/engine"
	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// occupancyCost is the cost in seconds of a target with all slots occupied. Each running stream slows down the others.
	occupancyCost = 0.03
	// failureCost is the cost in seconds of a target whose runs all fail.
	failureCost = 0.6
	// coldCost is the cost in seconds of a target that has not reached its full speed yet.
	coldCost = 0.05
	// homeTargetBonus is the reduction, in seconds, of the cost of a prompt's home target if no healthy candidate is known to
	// have the prompt's longest part in its cache.
	homeTargetBonus = 0.015
	// displacementCost is the part of the displaced tokens that are expected to be read again.
	displacementCost = 1
	// minFetchTokens is the minimum number of tokens for which a fetch from another target's cache is worthwhile.
	minFetchTokens = 64
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

// selection is a target with the predictions for a request.
type selection struct {
	target *targetState
	cost   float64
	// cachedTokens is the number of tokens at the beginning of the prompt that the target has in its cache.
	cachedTokens int
	// prefillTokens is the number of tokens that the target has to read. fetchTokens is the number of those that it can fetch instead from
	// cacheSource, the address of a target that has more of the prompt in its cache; zero and empty if there is none.
	prefillTokens, fetchTokens int
	cacheSource                string
	// eligible is the number of targets that could have been selected.
	eligible int
}

// selectTarget returns the target with the lowest cost for a request, and false if no target has capacity, including the
// headroom. Unhealthy targets are considered only if all are unhealthy: while a healthy one is full, the request waits.
func (s *service) selectTarget(now time.Time, own Locality, request *Request, extra headroom) (selection, bool) {
	candidates := s.candidates(request)
	eligible := s.eligibleTargets(now, candidates, request, extra)
	if len(eligible) == 0 {
		return selection{}, false
	}
	best := s.cheapest(now, own, candidates, eligible, request)
	if best.cachedTokens < request.tokensToHomePart() && s.hasEnoughCopies(now, candidates, request) {
		holders := slices.DeleteFunc(eligible, func(state *targetState) bool { return !state.hasHomePart(now, request) })
		if len(holders) == 0 {
			return selection{}, false
		}
		best = s.cheapest(now, own, candidates, holders, request)
	}
	return best, best.target != nil
}

// cheapest returns the one of the eligible targets with the lowest cost for a request.
func (s *service) cheapest(
	now time.Time, own Locality, candidates, eligible []*targetState, request *Request,
) selection {
	home, homeTokens := s.homeTarget(own, request), request.tokensToHomePart()
	s.holders = s.holders[:0]
	best := selection{cost: math.Inf(1)}
	for _, state := range eligible {
		var holder cacheHolder
		if home != nil {
			holder = s.cacheHolderFor(now, own, state.Build, candidates, request)
		}
		candidate := s.evaluate(now, own, state, request, holder)
		if state == home && holder.tokens < homeTokens {
			candidate.cost -= homeTargetBonus
		}
		if candidate.cost < best.cost {
			best = candidate
		}
	}
	best.eligible = len(eligible)
	return best
}

// hasEnoughCopies reports whether a request has to go to one of the targets that have the home part of its prompt, because requests compete
// for capacity and these targets are as many as the demand for the part needs. A further copy would push out parts that other requests
// need, so that the targets would read more and serve less.
func (s *service) hasEnoughCopies(now time.Time, candidates []*targetState, request *Request) bool {
	home := request.homePart()
	if home < 0 || home == len(request.Parts)-1 {
		return false
	}
	copies := 0
	for _, state := range candidates {
		if state.hasHomePart(now, request) && !state.Leaving && !state.notice.isPaused(now) && request.allows(&state.Target) &&
			state.isHealthy(now) {
			copies++
		}
	}
	return copies > 0 && copies >= s.demand.copiesWanted(now, request.Parts[home].ID, s.ownFraction, s.readSpeed) && s.isContended(now)
}

// evaluate returns the predictions for a request at a target, and the cost. In the cost, a token that the target fetches from the cache of
// the holder counts like one that it reads: it saves engine time, but a further copy takes up the link and pushes other parts out of the
// target's memory. So a request goes to a target that has its parts unless that one is busy for longer than the parts take to read.
func (s *service) evaluate(
	now time.Time, own Locality, state *targetState, request *Request, holder cacheHolder,
) selection {
	cachedTokens, displacedTokens := state.cache.match(now, request.Parts)
	uncachedTokens := max(request.PromptTokens-cachedTokens, 0)
	candidate := selection{target: state, cachedTokens: cachedTokens, prefillTokens: uncachedTokens}
	candidate.cost = s.targetCost(now, own, state, uncachedTokens) + displacementCost*displacedTokens/s.readSpeed
	if fetchable := min(holder.tokens-cachedTokens, uncachedTokens); fetchable >= minFetchTokens {
		candidate.prefillTokens, candidate.fetchTokens = uncachedTokens-fetchable, fetchable
		candidate.cacheSource = holder.target.Address
	}
	return candidate
}

// eligibleTargets returns the candidates that a request may go to now. The result is valid until the next call.
func (s *service) eligibleTargets(now time.Time, candidates []*targetState, request *Request, extra headroom) []*targetState {
	s.eligible = s.eligible[:0]
	healthyOnly := anyHealthy(now, candidates, request)
	for _, state := range candidates {
		if !state.takesRequests(now) || !state.hasFreeSlot(now, extra) || !s.canRead(now, state, request, extra) {
			continue
		}
		if request.allows(&state.Target) && (!healthyOnly || state.isHealthy(now)) {
			s.eligible = append(s.eligible, state)
		}
	}
	return s.eligible
}

// anyHealthy reports whether any of the targets that a request may go to is healthy.
func anyHealthy(now time.Time, candidates []*targetState, request *Request) bool {
	for _, state := range candidates {
		if !state.Leaving && !state.notice.isPaused(now) && request.allows(&state.Target) && state.isHealthy(now) {
			return true
		}
	}
	return false
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

// canRead reports whether a target is expected to read a request's prompt soon enough: its backlog is short, or longer by no more than the
// part of the prompt that it need not read because it has it in its cache.
func (s *service) canRead(now time.Time, state *targetState, request *Request, extra headroom) bool {
	excess := state.backlog(now, s.readSpeed) - extra.backlogLimit(maxBacklogSeconds*s.readSpeed)
	return excess <= 0 || excess <= float64(request.PromptTokens) && excess <= float64(state.cachedTokens(now, request.Parts))
}

// targetCost returns the cost of a target in seconds: the predicted time to the first byte, the network cost, and penalties
// for failures, occupied slots and a cold start.
func (s *service) targetCost(now time.Time, own Locality, state *targetState, prefillTokens int) float64 {
	firstByteIn := s.latency.PredictFirstByte(state.backlog(now, s.readSpeed)+float64(prefillTokens)).Seconds() *
		max(state.latencyRatio, 1)
	cost := firstByteIn + own.networkCost(&state.Target) + state.decayedFailureRatio(now)*failureCost
	cost += occupancyCost * state.occupiedSlots(now) / float64(max(state.Slots, 1))
	if now.Before(state.WarmAt) {
		cost += coldCost
	}
	return cost
}

// homeTarget returns the target in this router's region that all routers of the region prefer for the request's prompt while no target
// has its longest part. It is nil if the prompt has no parts or there is no such target.
func (s *service) homeTarget(own Locality, request *Request) *targetState {
	part := request.homePartID()
	if part == 0 {
		return nil
	}
	if s.usesSampling() {
		return s.sampler.homeTarget(part)
	}
	var best *targetState
	var highest uint64
	for _, state := range s.targets {
		if state.Leaving || state.Region != own.Region {
			continue
		}
		if weight := rendezvous.Weight(state.placementHash, part); best == nil || weight > highest {
			best, highest = state, weight
		}
	}
	return best
}
