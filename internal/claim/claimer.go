package claim

import (
	"slices"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Claimer claims the keys of the requests of one entry router and decides when the requests may be sent. It is not safe for
// concurrent use.
type Claimer struct {
	limits Limits
	self   string
	// idPrefix is the common prefix of the claim ids: host and incarnation.
	idPrefix string
	// lastNumber is the number in the id of the newest claim.
	lastNumber uint64
	// batchers holds, by shard, the name of the router that runs the batcher; empty if none does.
	batchers [ShardCount]string
	// connected holds the routers with a session, including this one.
	connected map[string]bool
	// claims holds the open claims by id.
	claims map[string]*openClaim
	// ordered holds the open claims in the order in which they began.
	ordered []*openClaim
	// queuedVerdicts are returned by the next Tick.
	queuedVerdicts []Verdict
}

// NewClaimer returns a claimer without claims for the router self. The incarnation must differ between starts of the router,
// so that claim ids are not used twice.
func NewClaimer(self string, incarnation uint64, limits Limits) *Claimer {
	return &Claimer{
		limits:    limits,
		self:      self,
		idPrefix:  self + "/" + strconv.FormatUint(incarnation, 36) + "/",
		connected: map[string]bool{self: true},
		claims:    make(map[string]*openClaim),
	}
}

// Claim begins a claim and returns its id, which is unique in the fleet. A later Tick returns the verdict.
func (c *Claimer) Claim(now time.Time, request Request) string {
	c.lastNumber++
	id := c.idPrefix + strconv.FormatUint(c.lastNumber, 36)
	key, err := ParseKey(request.Key)
	keyTime := time.UnixMilli(KeyUnixMilli(key))
	switch {
	case err != nil:
		// No router accepts such a key, so no request with it ever ran.
		c.queuedVerdicts = append(c.queuedVerdicts, Verdict{ClaimID: id, Outcome: OutcomeInvalid, Ran: refusal.NotExecuted})
	case keyTime.After(now.Add(c.limits.MaxClockSkew)):
		c.queueExecutionUnknown(Verdict{ClaimID: id, Outcome: OutcomeInvalid})
	case now.After(keyTime.Add(c.limits.Window)):
		c.queueExecutionUnknown(Verdict{ClaimID: id, Outcome: OutcomeExpired})
	case !now.Before(request.Deadline):
		c.queueExecutionUnknown(Verdict{ClaimID: id, Outcome: OutcomeUnknown, RetryAt: now})
	default:
		claim := &openClaim{
			id: id, key: key, customer: request.Customer, deadline: request.Deadline,
			bodyHash: slices.Clone(request.BodyHash[:min(len(request.BodyHash), bodyHashSize)]),
		}
		c.claims[id] = claim
		c.ordered = append(c.ordered, claim)
	}
	return id
}

// queueExecutionUnknown queues a verdict for a key whose request may have run.
func (c *Claimer) queueExecutionUnknown(verdict Verdict) {
	verdict.Ran = refusal.ExecutionUnknown
	c.queuedVerdicts = append(c.queuedVerdicts, verdict)
}

// AuthorizeSend reports whether the request of a claim may be sent. It permits that only once, unless MarkNotRun is called, and
// only if a batcher has read back from the log that the claim holds the key, the deadline has not passed, and the key is not
// older than Limits.Window. The caller must send the request immediately, since the conditions are not checked again.
func (c *Claimer) AuthorizeSend(now time.Time, claimID string) bool {
	claim := c.claims[claimID]
	if claim == nil || claim.phase != phaseHeld || !now.Before(claim.deadline) || c.isKeyExpired(now, claim) {
		return false
	}
	claim.phase = phaseSent
	return true
}

// MarkNotRun records that the target certainly did not run the request that AuthorizeSend permitted, for example because the
// target could not be reached. AuthorizeSend may then permit it again. An abandoned claim is released instead.
func (c *Claimer) MarkNotRun(_ time.Time, claimID string) {
	claim := c.claims[claimID]
	if claim == nil || claim.phase != phaseSent {
		return
	}
	claim.phase = phaseHeld
	if claim.abandoned {
		claim.releaseOrClose()
	}
}

// Complete stores the answer to a request that was sent. The message to the batcher is repeated until the batcher confirms
// that it has read the answer back from the log.
func (c *Claimer) Complete(_ time.Time, claimID string, status uint32, answer []byte) {
	if claim := c.claims[claimID]; claim != nil && claim.phase == phaseSent {
		claim.status, claim.answer = status, answer
		claim.setPhase(phaseStoring)
	}
}

// Abandon gives up a claim and returns whether the request of its key ran. It returns refusal.NotExecuted only if the claim
// holds the key and its request was not sent. A claim whose request was sent is not released, and its answer can still be
// stored.
func (c *Claimer) Abandon(_ time.Time, claimID string) refusal.Execution {
	claim := c.claims[claimID]
	if claim == nil {
		return refusal.ExecutionUnknown
	}
	switch claim.phase {
	case phaseHeld:
		claim.releaseOrClose()
		return refusal.NotExecuted
	case phaseClaiming:
		claim.releaseOrClose()
	case phaseSent:
		claim.abandoned = true
	default:
	}
	return refusal.ExecutionUnknown
}

// UpdateView looks up the batchers of all shards in a new view.
func (c *Claimer) UpdateView(_ time.Time, view membership.View) {
	for shard := range c.batchers {
		c.batchers[shard] = view.Owner(BatcherRole(shard))
	}
}

// Connected records a new session with a peer. Messages of earlier sessions that the peer has not answered are sent again.
func (c *Claimer) Connected(_ time.Time, peer string, _ uint64) {
	c.connected[peer] = true
	c.clearSentTo(peer)
}

// Disconnected records the end of a session with a peer.
func (c *Claimer) Disconnected(_ time.Time, peer string) {
	if peer != c.self {
		delete(c.connected, peer)
	}
	c.clearSentTo(peer)
}

// clearSentTo marks the current messages to a peer as not sent, since they may be lost.
func (c *Claimer) clearSentTo(peer string) {
	for _, claim := range c.ordered {
		if claim.sentTo == peer {
			claim.sentTo = ""
		}
	}
}

// Receive handles a verdict of a batcher and ignores other messages. A verdict depends on the content of the log, so it does
// not matter which batcher sends it.
func (c *Claimer) Receive(now time.Time, _ string, body *fleetpb.Body) {
	verdict := body.GetClaimVerdict()
	claim := c.claims[verdict.GetClaim()]
	if claim == nil {
		return
	}
	if claim.phase == phaseClaiming {
		c.applyVerdict(now, claim, verdict)
	} else if verdict.GetState() == fleetpb.ClaimState_CLAIM_STATE_STORED && claim.needsMessage() {
		claim.setPhase(phaseClosed)
	}
}

// applyVerdict handles the verdict for a claim in phaseClaiming.
func (c *Claimer) applyVerdict(now time.Time, claim *openClaim, verdict *fleetpb.ClaimVerdict) {
	result := Verdict{ClaimID: claim.id, Outcome: OutcomeUnknown, RetryAt: now.Add(c.limits.RetryInterval)}
	switch verdict.GetState() {
	case fleetpb.ClaimState_CLAIM_STATE_HELD:
		claim.phase = phaseHeld
		c.queuedVerdicts = append(c.queuedVerdicts, Verdict{ClaimID: claim.id, Outcome: OutcomeHeld, Fence: verdict.GetOffset()})
		return
	case fleetpb.ClaimState_CLAIM_STATE_UNAVAILABLE:
		if claim.claimSends > 1 {
			claim.retryAt = now.Add(c.limits.RetryInterval)
			return
		}
		result.Outcome = OutcomeUnavailable
	case fleetpb.ClaimState_CLAIM_STATE_DONE:
		result.Outcome, result.RetryAt = OutcomeReplay, time.Time{}
		result.Status, result.Answer = verdict.GetStatus(), verdict.GetAnswer()
	case fleetpb.ClaimState_CLAIM_STATE_CONFLICT:
		result.Outcome, result.RetryAt = OutcomeConflict, time.Time{}
	case fleetpb.ClaimState_CLAIM_STATE_BUSY:
		result.Outcome = OutcomeBusy
		if deadline := time.UnixMilli(verdict.GetDeadline()); deadline.Before(result.RetryAt) {
			result.RetryAt = deadline
		}
	case fleetpb.ClaimState_CLAIM_STATE_UNKNOWN:
	default:
		return
	}
	c.queueExecutionUnknown(result)
	if claim.claimSends > 1 {
		claim.releaseOrClose()
	} else {
		claim.setPhase(phaseClosed)
	}
}

// Tick returns the messages to send and the verdicts since the last tick. It also handles deadlines and expired keys, and
// removes closed claims.
func (c *Claimer) Tick(now time.Time) ([]message.Envelope, []Verdict) {
	var envelopes []message.Envelope
	for _, claim := range c.ordered {
		if claim.phase == phaseClaiming && !now.Before(claim.deadline) {
			c.queueExecutionUnknown(Verdict{ClaimID: claim.id, Outcome: OutcomeUnknown, RetryAt: now})
			claim.releaseOrClose()
		}
		if c.isKeyExpired(now, claim) && claim.phase != phaseClaiming {
			claim.setPhase(phaseClosed)
		}
		if to := c.startSend(now, claim); to != "" {
			envelopes = append(envelopes, message.Envelope{To: to, Body: claim.messageBody()})
		}
	}
	c.ordered = slices.DeleteFunc(c.ordered, func(claim *openClaim) bool {
		if claim.phase == phaseClosed {
			delete(c.claims, claim.id)
		}
		return claim.phase == phaseClosed
	})
	verdicts := c.queuedVerdicts
	c.queuedVerdicts = nil
	return envelopes, verdicts
}

// startSend returns the batcher to which the message of the current phase must be sent now, or an empty string, and records it
// as sent. The message for a claim record is sent once in a session, because a second copy could overtake the refusal of the
// first, unless applyVerdict has set retryAt after that refusal. Answers and releases are repeated until they are stored.
func (c *Claimer) startSend(now time.Time, claim *openClaim) string {
	batcher := c.batchers[KeyShard(claim.key)]
	if !claim.needsMessage() || !c.connected[batcher] {
		return ""
	}
	retryDue := !claim.retryAt.IsZero() && !now.Before(claim.retryAt)
	if claim.sentTo == batcher && !retryDue {
		return ""
	}
	claim.sentTo, claim.retryAt = batcher, time.Time{}
	if claim.phase == phaseClaiming {
		claim.claimSends++
	} else {
		claim.retryAt = now.Add(c.limits.RetryInterval)
	}
	return batcher
}

// isKeyExpired reports whether the key of a claim is older than Limits.Window.
func (c *Claimer) isKeyExpired(now time.Time, claim *openClaim) bool {
	return now.UnixMilli() > KeyUnixMilli(claim.key)+c.limits.Window.Milliseconds()
}

// OpenClaimCount returns the number of open claims, see Open.
func (c *Claimer) OpenClaimCount() int { return len(c.ordered) }
