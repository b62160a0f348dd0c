package dispatch

import (
	"math"
	"slices"
	"time"

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
	// displacementCost is the fraction of the displaced tokens that are expected to be read again.
	displacementCost = 1
	// minFetchTokens is the minimum number of tokens for which a fetch from another target's cache is worthwhile.
	minFetchTokens = 64
)

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
