package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicorydale/chicorydale/internal/engine"
	"github.com/chicorydale/chicorydale/internal/rendezvous"
)

const (
	// occupancyCost is the cost of a full target in seconds: each running stream slows the others down.
	occupancyCost = 0.03
	// failureCost is the cost of a target whose runs all fail, in seconds.
	failureCost = 0.6
	// coldCost is the cost of a target that is not at full speed yet, in seconds.
	coldCost = 0.05
	// homeBonus favours, in seconds, the target that all routers of the region prefer for a session of which nothing is
	// known.
	homeBonus = 0.015
	// fetchTokens is the least number of tokens that are worth a transfer from another target's cache, and fetchRate the
	// number of tokens that are transferred in the time in which one is read.
	fetchTokens = 64
	fetchRate   = 2
	// waitSpan is the time in which a waiting request has to get a target.
	waitSpan = 200 * time.Millisecond
	// repeatSpan is the time for which a request may wait that was at a target before.
	repeatSpan = 700 * time.Millisecond
	// waitPart bounds the wait of a request as a part of the time to its objective, leastPart is what it may wait even if
	// the answer is likely to be late.
	waitPart  = 0.4
	leastPart = 0.125
	// deepest bounds the time that a target needs to read the prompts sent to it. What is sent cannot be passed.
	deepest = 0.05
	// contendedPart is the part of the targets of which one has to be open for requests not to compete for room.
	contendedPart = 8
	// dueFactor and dueSlack give the time without a first byte from which a target counts as stalled.
	dueFactor = 4
	dueSlack  = 300 * time.Millisecond
)

// service is what this process knows of the targets of one service.
type service struct {
	name string
	// short is the hash of the name in messages to peers.
	short   uint32
	targets []*targetState
	// wide chooses the targets to look at if there are many.
	wide *candidates
	line *line
	fit  engine.Fit
	// speed is the number of tokens that a target reads in a second, as this router and its peers have learnt it.
	speed float64
	// memory is the number of tokens that each target holds, zero if it is not known.
	memory  int
	started meter
	// offset is the first target of the next estimate of the open ones.
	offset int
	// yielded is the instant from which room is left to the peers' customers, zero if none is.
	yielded time.Time
}

// newService returns a service without targets.
func newService(name string, random *rand.Rand) *service {
	return &service{
		name: name, short: short(name), line: newLine(), speed: engine.Fit{}.Speed(), wide: newCandidates(random),
	}
}

// large tells whether not all targets are looked at for each request.
func (s *service) large() bool { return len(s.targets) > exactTargets }

// candidates returns the targets to look at for a request.
func (s *service) candidates(request *Request) []*targetState {
	if s.large() {
		return s.wide.pick(request)
	}
	return s.targets
}

// remember notes that a target reads parts of a prompt.
func (s *service) remember(part uint64, state *targetState) {
	if s.large() {
		s.wide.remember(part, state)
	}
}

// serves tells whether any target may run a request now or soon.
func (s *service) serves(request *Request) bool {
	for _, state := range s.targets {
		if !state.Leaving && !avoids(request, state.Name) {
			return true
		}
	}
	return false
}

// until returns the instant until which a request may wait and still meet its objective. Its shared parts are likely to
// be in a cache. A request that was at a target before waits for a moment in any case.
func (s *service) until(now time.Time, w *waiting) time.Time {
	request := &w.request
	if w.repeated {
		return now.Add(min(repeatSpan, max(request.Deadline.Sub(now), 0)))
	}
	missing := request.PromptTokens
	for _, part := range request.Parts {
		missing -= part.Tokens
	}
	first := s.fit.First(max(float64(missing), 0) + deepest*s.speed)
	left := request.Objective.Sub(now)
	wait := min(left-first, time.Duration(float64(left)*waitPart))
	return now.Add(max(wait, time.Duration(float64(left)*leastPart)))
}

// capacity returns the number of requests that can wait and still be served in time.
func (s *service) capacity(now time.Time) int {
	return max(int(s.started.rate(now)*waitSpan.Seconds()), shortestLine)
}

// choice is a target with what is expected of it.
type choice struct {
	state *targetState
	cost  float64
	// missing is the number of tokens that the target has to read, source the address of a target that has more of the
	// prompt than it.
	missing int
	source  string
	choices int
}

// choose returns the target of least cost for a request. Targets that something speaks against are taken only if that
// holds for all; a request waits rather than go to one.
func (s *service) choose(now time.Time, from Locality, request *Request) (choice, bool) {
	looked := s.candidates(request)
	home, holder, held := s.home(from, request), (*targetState)(nil), 0
	if home != nil {
		holder, held = holderOf(now, from, looked, request)
	}
	best := choice{cost: math.Inf(1)}
	sound := anySound(now, looked, request)
	choices := 0
	for _, state := range looked {
		if state.Leaving || avoids(request, state.Name) || sound && !state.sound(now) {
			continue
		}
		if !state.room(now) || !s.shallow(now, state) {
			continue
		}
		candidate := choice{state: state, missing: request.PromptTokens - state.cached(now, request.Parts)}
		if gain := held - (request.PromptTokens - candidate.missing); gain >= fetchTokens {
			candidate.missing -= gain - gain/fetchRate
			candidate.source = holder.Address
		}
		candidate.missing = max(candidate.missing, 0)
		candidate.cost = s.cost(now, from, state, candidate.missing)
		if held == 0 && state == home {
			candidate.cost -= homeBonus
		}
		choices++
		if candidate.cost < best.cost {
			best = candidate
		}
	}
	best.choices = choices
	return best, best.state != nil
}

// anySound tells whether nothing speaks against one of the targets that a request may go to.
func anySound(now time.Time, looked []*targetState, request *Request) bool {
	for _, state := range looked {
		if !state.Leaving && !avoids(request, state.Name) && state.sound(now) {
			return true
		}
	}
	return false
}

// open returns the number of targets that could take a request now; if there are many, it is estimated from some.
func (s *service) open(now time.Time) int {
	looked, step := len(s.targets), 1
	if s.large() {
		looked, step = openSamples, max(len(s.targets)/openSamples, 1)
	}
	count := 0
	for i := range looked {
		state := s.targets[(s.offset+i*step)%len(s.targets)]
		if !state.Leaving && state.room(now) && s.shallow(now, state) && state.sound(now) {
			count++
		}
	}
	if s.large() {
		s.offset = (s.offset + 1) % len(s.targets)
	}
	return count * len(s.targets) / max(looked, 1)
}

// first returns the expected time to the first byte at a chosen target.
func (s *service) first(now time.Time, chosen *choice) time.Duration {
	return s.fit.First(chosen.state.queued(now, s.speed) + float64(chosen.missing))
}

// contended tells whether requests compete for room.
func (s *service) contended(now time.Time) bool {
	return s.line.length > 0 || s.open(now) <= len(s.targets)/contendedPart
}

// shallow tells whether a target reads what was sent to it soon.
func (s *service) shallow(now time.Time, state *targetState) bool {
	speed := s.speed
	return state.queued(now, speed) <= deepest*speed
}

// holderOf returns the target that has most of a request's prompt in its cache, and how many tokens that are. Of several
// ones it is the nearest.
func holderOf(now time.Time, from Locality, looked []*targetState, request *Request) (*targetState, int) {
	var best *targetState
	held, distance := 0, 0.0
	for _, state := range looked {
		cached := state.cached(now, request.Parts)
		if cached == 0 || !state.sound(now) {
			continue
		}
		if away := from.distance(&state.Target); cached > held || cached == held && away < distance {
			best, held, distance = state, cached, away
		}
	}
	return best, held
}

// cost returns the cost of a target in seconds: the time to the first byte, and what else speaks against the target.
func (s *service) cost(now time.Time, from Locality, state *targetState, missing int) float64 {
	first := s.fit.First(state.queued(now, s.speed)+float64(missing)).Seconds() * max(state.pace, 0.5)
	cost := first + from.distance(&state.Target) + state.failed(now)*failureCost
	cost += occupancyCost * state.occupied(now) / float64(max(state.Slots, 1))
	if now.Before(state.WarmAt) {
		cost += coldCost
	}
	return cost
}

// home returns the target of the own region that all routers of the region prefer for the request's session.
func (s *service) home(from Locality, request *Request) *targetState {
	session := request.session()
	if session == 0 {
		return nil
	}
	if s.large() {
		return s.wide.home(session)
	}
	var best *targetState
	var highest uint64
	for _, state := range s.targets {
		if state.Leaving || state.Region != from.Region {
			continue
		}
		if weight := rendezvous.Weight(state.hash, session); best == nil || weight > highest {
			best, highest = state, weight
		}
	}
	return best
}

// avoids tells whether a request must not go to a target.
func avoids(request *Request, name string) bool {
	for _, avoided := range request.ExcludedTargets {
		if avoided == name {
			return true
		}
	}
	return false
}
