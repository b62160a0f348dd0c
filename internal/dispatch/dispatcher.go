package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// outputTokenCost is the cost of a generated token. A prompt token costs 1.
	outputTokenCost = 2
	// emptyRequestCost is the cost of a request without a known number of tokens.
	emptyRequestCost = 1
	// behindSlack is how much later than predicted the first byte may arrive before the target counts as behind.
	behindSlack = 50 * time.Millisecond
)

// Dispatcher decides on the requests of one router. TakeDecisions returns the decisions that the other methods make. A
// Dispatcher is not safe for concurrent use.
type Dispatcher struct {
	locality Locality
	random   *rand.Rand
	services map[string]*service
	targets  map[string]*targetState
	// runs and queued are by request ID.
	runs     map[uint64]*run
	queued   map[uint64]*queuedRequest
	accounts *customerAccounts
	peers    map[string]*peer
	// nearPeers is the number of peers in this router's region.
	nearPeers int
	// readSpeedsOutdated is set if peers have reported read speeds since they were averaged. averageSpeedsAt is the earliest time of the
	// next average.
	readSpeedsOutdated bool
	averageSpeedsAt    time.Time
	// ownFractionsAt is the earliest time of the next update of the fractions of demand.
	ownFractionsAt time.Time
	// linkGroups divides the fleet into groups. relays are the linked routers of other groups, which are no peers.
	linkGroups LinkGroups
	relays     map[string]*relay
	// isReported tells which customers this router reports on to the relays.
	isReported func(customerHash uint32) bool
	// groupWaiting holds the waiting requests of the other groups by the hash of the group.
	groupWaiting map[uint32]groupWaiting
	// nextGroupUseAt is the earliest time of the next report to the relays.
	nextGroupUseAt time.Time
	// routersByZone holds the number of routers in each availability zone, by the records in the store.
	routersByZone map[string]int
	// targetsByHash holds the targets by the hash that identifies them in messages to peers.
	targetsByHash map[uint32]*targetState
	// announcedAt is the time at which each prompt part at a target was last announced to the peers.
	announcedAt map[announcementKey]time.Time
	// notices holds what targets have said of their leaving and pauses, also of targets that are not listed.
	notices   map[startKey]*notice
	decisions []Decision
	lastID    uint64
}

// New returns a dispatcher without targets for a router at a locality. The seed determines the retry delays of refused
// requests and the targets that are sampled in large services.
func New(own Locality, seed uint64) *Dispatcher {
	return &Dispatcher{
		locality:      own,
		random:        rand.New(rand.NewPCG(seed, seed)),
		services:      make(map[string]*service),
		targets:       make(map[string]*targetState),
		runs:          make(map[uint64]*run),
		queued:        make(map[uint64]*queuedRequest),
		accounts:      newCustomerAccounts(),
		peers:         make(map[string]*peer),
		linkGroups:    oneGroup,
		isReported:    func(uint32) bool { return true },
		relays:        make(map[string]*relay),
		groupWaiting:  make(map[uint32]groupWaiting),
		targetsByHash: make(map[uint32]*targetState),
		notices:       make(map[startKey]*notice),

		announcedAt: make(map[announcementKey]time.Time),
	}
}

// TakeDecisions returns the decisions made since the last call.
func (d *Dispatcher) TakeDecisions() []Decision {
	decisions := d.decisions
	d.decisions = nil
	return decisions
}

// SetTargets replaces the list of targets. Runs at targets that are no longer listed continue until Finish.
func (d *Dispatcher) SetTargets(now time.Time, targets []Target) {
	for _, s := range d.services {
		s.targets = s.targets[:0]
	}
	current := make(map[string]*targetState, len(targets))
	clear(d.targetsByHash)
	for _, target := range targets {
		state, known := d.targets[target.Name]
		isListedAnew := !known
		if !known || state.StartUnixMilli != target.StartUnixMilli || state.Address != target.Address {
			state, isListedAnew = newTargetState(target), true
			d.initPeerRuns(state)
			d.markChanged(state)
		}
		state.Target, state.kvCapacity = target, d.getOrCreateService(target.Service).kvCapacity
		d.keepLeaving(now, state, isListedAnew)
		d.applyNotice(state)
		state.unheard = d.isUnheard(target.Region)
		current[target.Name] = state
		d.targetsByHash[state.nameHash] = state
		s := d.getOrCreateService(target.Service)
		s.targets = append(s.targets, state)
	}
	for name, state := range d.targets {
		state.removed = current[name] != state
	}
	d.targets = current
	for _, s := range d.services {
		slices.SortFunc(s.targets, func(a, b *targetState) int { return cmp.Compare(a.Name, b.Name) })
		if s.usesSampling() {
			s.sampler.setTargets(d.locality, s.targets)
		}
		d.assignWaiting(now, s)
	}
}

// SetKVCapacity sets the KV capacity in tokens of each target of a service; 0 means unknown.
func (d *Dispatcher) SetKVCapacity(serviceName string, kvCapacity int) {
	s := d.getOrCreateService(serviceName)
	s.kvCapacity = kvCapacity
	for _, state := range s.targets {
		state.kvCapacity = kvCapacity
	}
}

// Submit adds a new request and returns its ID. The decision may be available at once or after a later call.
func (d *Dispatcher) Submit(now time.Time, request Request) uint64 {
	d.lastID++
	d.assignOrQueue(now, &queuedRequest{id: d.lastID, request: request, queuedAt: now})
	return d.lastID
}

// Retry adds a request again, with its ID, after an attempt at a target. The request names the targets to exclude.
func (d *Dispatcher) Retry(now time.Time, id uint64, request Request) {
	d.assignOrQueue(now, &queuedRequest{id: id, request: request, queuedAt: now, isRetry: true})
}

// assignOrQueue gives a request a target, queues it, or refuses it.
func (d *Dispatcher) assignOrQueue(now time.Time, qr *queuedRequest) {
	s := d.getOrCreateService(qr.request.Service)
	if refused := d.unservable(now, s, qr); refused != nil {
		d.refuse(now, qr, refused)
		return
	}
	qr.waitDeadline = s.waitDeadline(now, qr)
	if !qr.isRetry {
		cost := requestCost(&qr.request)
		d.recordUsage(now, s, qr.request.Customer, 0, cost)
		s.activityOf(qr.request.Customer).askedTokens += cost
		if home := qr.request.homePartID(); home != 0 {
			s.demand.recordRequest(now, home)
		}
		if !qr.request.MayExceedShare && d.exceedsShare(now, s, &qr.request) {
			d.refuse(now, qr, d.overloadRefusal(now, &qr.request, "the customer has its share"))
			return
		}
	}
	if s.queue.length == 0 && d.tryAssign(now, s, qr) {
		return
	}
	s.queue.add(qr)
	d.queued[qr.id] = qr
	d.assignWaiting(now, s)
	d.shedExcess(now, s)
}

// WaitDeadline returns the time at which the caller has to expire a waiting request. It is zero if the request is not waiting.
func (d *Dispatcher) WaitDeadline(id uint64) time.Time {
	if qr, found := d.queued[id]; found {
		return qr.waitDeadline
	}
	return time.Time{}
}

// Expire refuses a request that is still waiting at its wait deadline. It does nothing if the request is not waiting.
func (d *Dispatcher) Expire(now time.Time, id uint64) {
	qr, found := d.queued[id]
	if !found {
		return
	}
	d.dequeue(d.getOrCreateService(qr.request.Service), qr)
	d.refuse(now, qr, d.overloadRefusal(now, &qr.request, "the request waited too long"))
}

// Cancel removes a waiting request whose caller has left. There is no decision for it.
func (d *Dispatcher) Cancel(id uint64) {
	if qr, found := d.queued[id]; found {
		d.dequeue(d.getOrCreateService(qr.request.Service), qr)
	}
}

// RecordFirstByte records the first byte of an answer. The load is what the target reported with it, nil if it reported none.
// A further call for the same attempt records only the load.
func (d *Dispatcher) RecordFirstByte(now time.Time, id uint64, load *Load) {
	r, found := d.runs[id]
	if !found {
		return
	}
	s := d.getOrCreateService(r.request.Service)
	if !r.answered {
		predicted := s.latency.PredictFirstByte(float64(r.tokensBeforeFirstByte)) + s.fetches.Predict(r.fetchTokens)
		elapsed := max(now.Sub(r.assignedAt)-d.locality.networkDelay(&r.target.Target), 0)
		r.target.recordFirstByte(now, r, elapsed, predicted)
		s.recordLatency(r, elapsed)
		if len(d.peers) == 0 {
			s.readSpeed = s.latency.TokensPerSecond()
		}
		r.answered = true
	}
	if load != nil {
		r.target.recordLoad(now, *load)
	}
	d.assignWaiting(now, s)
}

// RecordData records that a target sent data for a request.
func (d *Dispatcher) RecordData(now time.Time, id uint64) {
	if r, found := d.runs[id]; found {
		r.target.lastData = now
	}
}

// Finish records the end of an attempt at a target. If it ended before the first byte, other than by cancellation, its cost is
// taken back from the customer's usage.
func (d *Dispatcher) Finish(now time.Time, id uint64, outcome Outcome) {
	r, found := d.runs[id]
	if !found {
		return
	}
	delete(d.runs, id)
	s := d.getOrCreateService(r.request.Service)
	if !r.answered && outcome != Cancelled {
		d.recordUsage(now, s, r.request.Customer, -r.charged, 0)
		r.target.dropSessionPart(&r.request)
	}
	r.target.endRun(r)
	d.markChanged(r.target)
	switch outcome {
	case Done:
		r.target.recordOutcome(now, 0)
	case Failed, Broken, Stalled:
		r.target.recordOutcome(now, 1)
	case Rejected:
		r.target.recordOutcome(now, 1)
		r.target.blockedUntil = now.Add(rejectedBackoff)
	case Misdirected:
		r.target.blockedUntil = now.Add(misdirectedBackoff)
	case Unreachable:
		r.target.recordOutcome(now, 1)
		r.target.blockUnreachable(now)
	case Cancelled, Delayed:
	}
	d.assignWaiting(now, s)
}

// Accepts reports whether a target of an earlier decision still takes new requests: it is listed, has not started again, and neither leaves
// nor pauses.
func (d *Dispatcher) Accepts(now time.Time, chosen Target) bool {
	state, listed := d.targets[chosen.Name]
	return listed && !state.Leaving && !state.notice.isPaused(now) && state.StartUnixMilli == chosen.StartUnixMilli
}

// HasTarget reports whether a healthy target can take a request now that was sent to another one before.
func (d *Dispatcher) HasTarget(now time.Time, request Request) bool {
	selected, found := d.getOrCreateService(request.Service).selectTarget(now, d.locality, &request, fullHeadroom)
	return found && selected.target.isHealthy(now)
}

// OpenTargetNames returns the names of the listed targets that do not leave, in no particular order.
func (d *Dispatcher) OpenTargetNames() []string {
	names := make([]string, 0, len(d.targets))
	for name, state := range d.targets {
		if !state.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// NumWaiting returns the number of requests that wait for a target.
func (d *Dispatcher) NumWaiting() int { return len(d.queued) }

// NumRunning returns the number of requests at targets.
func (d *Dispatcher) NumRunning() int { return len(d.runs) }

// assignWaiting gives waiting requests targets until no target has capacity for any of them.
func (d *Dispatcher) assignWaiting(now time.Time, s *service) {
	for s.queue.length > 0 {
		decided := false
		for _, rank := range d.customersByRank(now, s) {
			if d.assignNext(now, s, rank.customer) {
				decided = true
				break
			}
		}
		if !decided {
			return
		}
	}
}

// assignNext gives a waiting request of a customer a target, and reports whether a decision was made. A request that may only go to
// targets of one build does not hold up those behind it.
func (d *Dispatcher) assignNext(now time.Time, s *service, customer string) bool {
	next := s.queue.nextFor(now, customer)
	if d.tryAssign(now, s, next) {
		return true
	}
	if next.request.Build == "" {
		return false
	}
	other := s.queue.nextForAnyBuild(now, customer)
	return other != nil && d.tryAssign(now, s, other)
}

// tryAssign gives a request a target if one has capacity, and reports whether a decision was made. If none has, a customer below its
// share and a request whose caller may have a part of the answer may use the headroom, so that they do not depend on which router learns
// first of a free slot. While requests compete for capacity, a request whose answer would miss its objective is refused instead. This
// does not apply if the caller may have a part of the answer, or a target has already worked on it, nor to a customer far below its share,
// which would starve if its requests are the longest ones.
func (d *Dispatcher) tryAssign(now time.Time, s *service, qr *queuedRequest) bool {
	selected, found := s.selectTarget(now, d.locality, &qr.request, noHeadroom)
	if !found && (qr.mayHavePart() || d.isBelowShare(now, s, qr.request.Customer)) &&
		(!s.usesSampling() || s.countAvailable(now) == 0) {
		selected, found = s.selectTarget(now, d.locality, &qr.request, fullHeadroom)
	}
	if !found {
		return false
	}
	d.dequeue(s, qr)
	firstByteIn := s.expectedFirstByte(now, d.locality, &selected)
	if !qr.mayHavePart() && now.Add(firstByteIn).After(qr.request.Objective) && s.isContended(now) &&
		!d.isFarBelowShare(now, s, qr.request.Customer) {
		d.refuse(now, qr, d.overloadRefusal(now, &qr.request, "no target can answer in time"))
		return true
	}
	state := selected.target
	d.announce(now, state, &qr.request)
	r := &run{
		id: qr.id, request: qr.request, target: state, assignedAt: now,
		tokensBeforeFirstByte: int(state.backlog(now, s.readSpeed)) + selected.prefillTokens, prefillTokens: selected.prefillTokens,
		fetchTokens: selected.fetchTokens,
		charged:     requestCost(&qr.request),
	}
	r.behindAfter = now.Add(firstByteIn + behindSlack)
	r.stalledAfter = now.Add(stallSlack + stallFactor*firstByteIn)
	state.startRun(now, r)
	state.addUnread(now, s.readSpeed, selected.prefillTokens)
	r.assignedTokens = state.assignedTokens
	limited := state.rateLimit.applies(now)
	state.rateLimit.take(now)
	for _, p := range d.peers {
		p.unreportedTokens[state.nameHash] += uint32(selected.prefillTokens)
		if limited {
			p.unreportedStarts[state.nameHash]++
		}
	}
	d.markChanged(state)
	for _, part := range qr.request.Parts {
		s.recordReader(part.ID, state)
	}
	d.recordUsage(now, s, qr.request.Customer, r.charged, 0)
	s.activityOf(qr.request.Customer).startedTokens += r.charged
	s.startRate = s.startRate.withEvent(now)
	s.demand.recordRead(selected.prefillTokens)
	d.runs[qr.id] = r
	d.decisions = append(d.decisions, Decision{
		ID: qr.id, Target: state.Target, CacheSource: selected.cacheSource, Waited: now.Sub(qr.queuedAt),
		PrefillTokens: selected.prefillTokens, FetchTokens: selected.fetchTokens, ExpectedFirstByte: now.Add(firstByteIn), Cost: selected.cost,
		EligibleTargets: selected.eligible,
	})
	return true
}

// requestCost returns the expected cost of a request, in prompt tokens.
func requestCost(request *Request) float64 {
	return RequestTokens(request.PromptTokens, request.MaxOutputTokens)
}

// RequestTokens returns the cost of a request with a number of prompt tokens and of output tokens at most, in the units of fair shares.
func RequestTokens(promptTokens, maxOutputTokens int) float64 {
	if promptTokens == 0 && maxOutputTokens == 0 {
		return emptyRequestCost
	}
	return float64(promptTokens + outputTokenCost*maxOutputTokens)
}

// dequeue removes a request from the waiting ones.
func (d *Dispatcher) dequeue(s *service, qr *queuedRequest) {
	if _, found := d.queued[qr.id]; found {
		delete(d.queued, qr.id)
		s.queue.remove(qr)
	}
}

// getOrCreateService returns the service with the name and creates it if it does not exist.
func (d *Dispatcher) getOrCreateService(name string) *service {
	found, ok := d.services[name]
	if !ok {
		found = newService(name, d.random)
		d.services[name] = found
	}
	return found
}
