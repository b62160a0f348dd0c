package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherRunsDecayTime is the time in which the number of other routers' runs that a target reported decays to 1/e.
	otherRunsDecayTime = 500 * time.Millisecond
	// failureDecayTime is the time in which the failure ratio of a target decays to 1/e without further runs.
	failureDecayTime = 5 * time.Second
	// failureWeight is the weight of one outcome in the failure ratio.
	failureWeight = 0.15
	// latencyRatioWeight is the weight of one answer in the latency ratio of a target.
	latencyRatioWeight = 0.1
	// maxLatencyRatio bounds the latency ratio of an answer, so that a target that was slow is tried again.
	maxLatencyRatio = 20.0
	// minConnectBackoff is how long a target that accepts no connection gets no requests. It doubles with each further failure
	// in a row, up to maxConnectBackoff.
	minConnectBackoff = time.Second
	maxConnectBackoff = 8 * time.Second
	// misdirectedBackoff is how long a target gets no requests after another target answered at its address. The outdated
	// entry is expected to leave the list of targets soon.
	misdirectedBackoff = 5 * time.Second
	// rejectedBackoff is how long a target gets no requests after it rejected one.
	rejectedBackoff = 50 * time.Millisecond
	// peerReportDelay is the time after which the peers' reports cover what this router assigned to a target.
	peerReportDelay = 200 * time.Millisecond
	// peerReportWeight is the weight of a peer's report in the estimate of a target's unread tokens.
	peerReportWeight = 0.1
	// maxStreamSilence is how long a target with running streams may send no data before it counts as unhealthy.
	maxStreamSilence = 700 * time.Millisecond
)

// assignment is a number of tokens that a target was given to read.
type assignment struct {
	tokens     float64
	assignedAt time.Time
}

// targetState is what this router knows about a target.
type targetState struct {
	Target
	// placementHash is the 64-bit hash of the name by which home targets of sessions are selected. nameHash is the 32-bit hash
	// that identifies the target in messages to peers.
	placementHash uint64
	nameHash      uint32
	// running is the number of this router's runs at the target.
	running int
	// otherRuns is the number of other routers' runs when the target last reported its load, at otherRunsAt.
	otherRuns   float64
	otherRunsAt time.Time
	// peerRuns is the number of runs that the connected peers report at the target.
	peerRuns int
	// unreadTokens is the number of tokens that the target had to read at unreadAt, from this router and its peers.
	unreadTokens float64
	unreadAt     time.Time
	// recentAssignments are this router's assignments that the peers' reports may not cover yet.
	recentAssignments []assignment
	// assignedTokens is the total number of tokens that the target has been given to read since it was first listed.
	assignedTokens float64
	// unanswered are the runs without a first byte, the oldest first.
	unanswered []*run
	// lastData is the time of the last data from the target.
	lastData time.Time
	// cache is the model of the target's prompt cache. kvCapacity is the KV capacity in tokens, 0 if it is not known.
	cache      *promptCache
	kvCapacity int
	// failureRatio is the exponentially weighted ratio of failed runs at failureRatioAt.
	failureRatio   float64
	failureRatioAt time.Time
	// latencyRatio is the ratio of observed to predicted times to the first byte, which are both averaged with exponential weights, in
	// seconds. Averages of ratios would rise with the errors of the predictions.
	latencyRatio                      float64
	observedLatency, predictedLatency float64
	// blockedUntil is the time until which the target counts as unhealthy. connectFailures is the number of consecutive
	// attempts at which it accepted no connection.
	blockedUntil    time.Time
	connectFailures int
	rateLimit       rateLimit
	// unheard is set if this router is linked with no router of the target's region, because the fleet is too large for that.
	unheard bool
	// notice is what this start of the target has said, recordLeaves whether its record says now that it leaves.
	notice       *notice
	recordLeaves bool
	// removed is set if the target is no longer listed.
	removed bool
}

// newTargetState returns the state of a target about which nothing is known yet.
func newTargetState(target Target) *targetState {
	return &targetState{
		Target: target, placementHash: xxhash.Sum64String(target.Name), nameHash: hashName(target.Name), cache: newPromptCache(),
		latencyRatio: 1, notice: &notice{},
	}
}

// startKey identifies this start of the target.
func (t *targetState) startKey() startKey { return startKey{t.nameHash, t.StartUnixMilli} }

// takesRequests reports whether the target takes requests of this router now: it neither leaves nor pauses, its limit allows one more, and
// it has its load back after a pause as far as it should.
func (t *targetState) takesRequests(now time.Time) bool {
	return !t.Leaving && t.notice.allowsRun(now, t.running, t.Slots) && t.rateLimit.allows(now)
}

// occupiedSlots returns the number of runs at the target, of all routers as far as known. The target's own report is the only
// source for routers that are not connected, and it soon goes out of date.
func (t *targetState) occupiedSlots(now time.Time) float64 {
	peerRuns := float64(t.peerRuns)
	if t.otherRuns <= peerRuns {
		return float64(t.running) + peerRuns
	}
	otherRuns := t.otherRuns * math.Exp(-float64(max(now.Sub(t.otherRunsAt), 0))/float64(otherRunsDecayTime))
	return float64(t.running) + max(otherRuns, peerRuns)
}

// backlog returns the estimated number of tokens that the target still has to read, given its read speed in tokens per second.
func (t *targetState) backlog(now time.Time, readSpeed float64) float64 {
	return max(t.unreadTokens-readSpeed*max(now.Sub(t.unreadAt), 0).Seconds(), t.overdueTokens(now), 0)
}

// overdueTokens returns the number of tokens that the target was given after its oldest unanswered run, if that run's answer
// is overdue. Prompts are read in the order of arrival, so these tokens are unread.
func (t *targetState) overdueTokens(now time.Time) float64 {
	if len(t.unanswered) == 0 || now.Before(t.unanswered[0].behindAfter) {
		return 0
	}
	return t.assignedTokens - t.unanswered[0].assignedTokens
}

// addUnread adds tokens to those that the target has to read.
func (t *targetState) addUnread(now time.Time, readSpeed float64, tokens int) {
	t.unreadTokens, t.unreadAt = t.backlog(now, readSpeed)+float64(tokens), now
	t.assignedTokens += float64(tokens)
}

// hasFreeSlot reports whether the target has a free slot, or room in the headroom.
func (t *targetState) hasFreeSlot(now time.Time, extra headroom) bool {
	if t.unheard && float64(t.running+t.peerRuns)+0.5 >= t.foreignSlotLimit(now) {
		return false
	}
	return t.occupiedSlots(now)+0.5 < extra.slotLimit(t.Slots)
}

// isHealthy reports whether the target may be given requests. It is unhealthy while it is blocked, and when it has sent no
// data for maxStreamSilence although a stream is running or the oldest unanswered run is past its stalledAfter.
func (t *targetState) isHealthy(now time.Time) bool {
	if now.Before(t.blockedUntil) {
		return false
	}
	if len(t.unanswered) > 0 && now.After(t.unanswered[0].stalledAfter) && now.Sub(t.lastData) > maxStreamSilence {
		return false
	}
	answered := t.running - len(t.unanswered)
	return answered == 0 || t.lastData.IsZero() || now.Sub(t.lastData) <= maxStreamSilence
}

// decayedFailureRatio returns the failure ratio, decayed since the last outcome.
func (t *targetState) decayedFailureRatio(now time.Time) float64 {
	return t.failureRatio * math.Exp(-float64(max(now.Sub(t.failureRatioAt), 0))/float64(failureDecayTime))
}

// recordOutcome adds the outcome of a run to the failure ratio: 1 for a failure, 0 otherwise.
func (t *targetState) recordOutcome(now time.Time, failure float64) {
	t.failureRatio = t.decayedFailureRatio(now)*(1-failureWeight) + failure*failureWeight
	t.failureRatioAt = now
}

// mergePeerBacklog moves the estimate of unread tokens towards a peer's estimate. Recent assignments of this router, which the
// peer may not know of, are added to the peer's estimate.
func (t *targetState) mergePeerBacklog(now time.Time, readSpeed, peerBacklog float64) {
	t.trimRecentAssignments(now)
	for _, recent := range t.recentAssignments {
		peerBacklog += recent.tokens
	}
	ownBacklog := t.backlog(now, readSpeed)
	t.unreadTokens, t.unreadAt = ownBacklog+(peerBacklog-ownBacklog)*peerReportWeight, now
}

// trimRecentAssignments drops the assignments that the peers' reports already cover.
func (t *targetState) trimRecentAssignments(now time.Time) {
	t.recentAssignments = slices.DeleteFunc(t.recentAssignments, func(a assignment) bool {
		return now.Sub(a.assignedAt) > peerReportDelay
	})
}

// cachedTokens returns the number of tokens at the beginning of the prompt that the target has in its cache.
func (t *targetState) cachedTokens(now time.Time, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if !t.cache.contains(now, part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// hasHomePart reports whether the target has the home part of a prompt in its cache, and all before it.
func (t *targetState) hasHomePart(now time.Time, request *Request) bool {
	home := request.homePart()
	return home >= 0 && t.cachedTokens(now, request.Parts[:home+1]) == request.tokensToHomePart()
}

// dropSessionPart removes the session's part from the cache model because the target has not read it.
func (t *targetState) dropSessionPart(request *Request) { t.cache.remove(request.sessionPartID()) }

// startRun adds a run and expects the target to cache the parts of its prompt.
func (t *targetState) startRun(now time.Time, r *run) {
	if t.running == 0 {
		t.lastData = now
	}
	t.running++
	t.unanswered = append(t.unanswered, r)
	t.trimRecentAssignments(now)
	t.recentAssignments = append(t.recentAssignments, assignment{tokens: float64(r.prefillTokens), assignedAt: now})
	for _, part := range r.request.Parts {
		t.cache.touch(now, part, t.kvCapacity)
	}
}

// recordFirstByte records the first byte of a run. elapsed and predicted are the observed and the predicted time to it without the delay of
// the network; the prediction has no regard to the target's latency ratio.
func (t *targetState) recordFirstByte(now time.Time, answered *run, elapsed, predicted time.Duration) {
	t.lastData = now
	t.connectFailures = 0
	// Prompts are read in the order of arrival, so only the tokens assigned after this run can still be unread.
	t.unreadTokens = min(t.unreadTokens, t.assignedTokens-answered.assignedTokens)
	t.unanswered = slices.DeleteFunc(t.unanswered, func(r *run) bool { return r == answered })
	t.recordLatency(elapsed, max(predicted, time.Millisecond))
}

// recordLatency updates the latency ratio with the observed and the predicted time to the first byte of an answer.
func (t *targetState) recordLatency(observed, predicted time.Duration) {
	if t.predictedLatency == 0 {
		t.observedLatency, t.predictedLatency = predicted.Seconds(), predicted.Seconds()
	}
	observed = min(observed, maxLatencyRatio*predicted)
	t.observedLatency += (observed.Seconds() - t.observedLatency) * latencyRatioWeight
	t.predictedLatency += (predicted.Seconds() - t.predictedLatency) * latencyRatioWeight
	t.latencyRatio = t.observedLatency / t.predictedLatency
}

// blockUnreachable blocks the target for a time that doubles with each consecutive attempt at which it accepted no connection.
func (t *targetState) blockUnreachable(now time.Time) {
	backoff := minConnectBackoff << min(t.connectFailures, 3)
	t.connectFailures++
	t.blockedUntil = now.Add(min(backoff, maxConnectBackoff))
}

// endRun removes a run.
func (t *targetState) endRun(ended *run) {
	t.running--
	if !ended.answered {
		t.unanswered = slices.DeleteFunc(t.unanswered, func(r *run) bool { return r == ended })
	}
}

// recordLoad records the load that the target reported.
func (t *targetState) recordLoad(now time.Time, load Load) {
	if load.Slots > 0 {
		t.Slots = load.Slots
	}
	t.otherRuns = max(float64(load.Running+load.Waiting-t.running), 0)
	t.otherRunsAt = now
}
