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

// Claimer claims the keys of the requests of one entry router and decides when they may be sent.
type Claimer struct {
	limits Limits
	self   string
	// prefix begins the claim ids: host and incarnation.
	prefix    string
	number    uint64
	owners    [ShardCount]string
	connected map[string]bool
	attempts  map[string]*attempt
	// order has the attempts in the order in which they began.
	order    []*attempt
	verdicts []Verdict
}

// NewClaimer returns a holder without claims. The incarnation is unique for each start of the router.
func NewClaimer(self string, incarnation uint64, limits Limits) *Claimer {
	return &Claimer{
		limits:    limits,
		self:      self,
		prefix:    self + "/" + strconv.FormatUint(incarnation, 36) + "/",
		connected: map[string]bool{self: true},
		attempts:  make(map[string]*attempt),
	}
}

// Claim begins a claim and returns its id, which is unique in the fleet. The verdict is returned by a later Tick.
func (h *Claimer) Claim(now time.Time, request Request) string {
	h.number++
	id := h.prefix + strconv.FormatUint(h.number, 36)
	key, err := ParseKey(request.Key)
	made := time.UnixMilli(KeyTime(key))
	switch {
	case err != nil:
		// No router accepts such a key, so it is certain that it never ran.
		h.verdicts = append(h.verdicts, Verdict{ClaimID: id, Outcome: Invalid, Ran: refusal.RanNo})
	case made.After(now.Add(h.limits.Skew)):
		h.conclude(Verdict{ClaimID: id, Outcome: Invalid})
	case now.After(made.Add(h.limits.Window)):
		h.conclude(Verdict{ClaimID: id, Outcome: Expired})
	case !now.Before(request.Deadline):
		h.conclude(Verdict{ClaimID: id, Outcome: OutcomeUnknown, RetryAt: now})
	default:
		begun := &attempt{
			id: id, key: key, customer: request.Customer, deadline: request.Deadline,
			bodyHash: slices.Clone(request.BodyHash[:min(len(request.BodyHash), hashBytes)]),
		}
		h.attempts[id] = begun
		h.order = append(h.order, begun)
	}
	return id
}

// conclude queues a verdict on a key that may have run.
func (h *Claimer) conclude(verdict Verdict) {
	verdict.Ran = refusal.RanUnknown
	h.verdicts = append(h.verdicts, verdict)
}

// AuthorizeSend tells whether the request of a claim may be sent, and permits it at most once: the claim was read back as the
// one that holds the key, its deadline has not passed, and the key is within its window. The caller sends at once.
func (h *Claimer) AuthorizeSend(now time.Time, claimID string) bool {
	found := h.attempts[claimID]
	if found == nil || found.phase != held || !now.Before(found.deadline) || h.expired(now, found) {
		return false
	}
	found.phase = sent
	return true
}

// MarkNotRun notes that the target certainly did not run the request that AuthorizeSend permitted, for example because it could
// not be reached. AuthorizeSend may permit it again, unless the claim was abandoned.
func (h *Claimer) MarkNotRun(_ time.Time, claimID string) {
	found := h.attempts[claimID]
	if found == nil || found.phase != sent {
		return
	}
	found.phase = held
	if found.abandoned {
		found.giveUp()
	}
}

// Complete stores the answer of a request that was sent; it is repeated until a batcher has read it back.
func (h *Claimer) Complete(_ time.Time, claimID string, status uint32, answer []byte) {
	if found := h.attempts[claimID]; found != nil && found.phase == sent {
		found.status, found.answer = status, answer
		found.enter(storing)
	}
}

// Abandon gives a claim up and tells whether its key ran: no only if the claim holds the key and was not sent. A claim
// that was sent is not released, and its answer can still be stored.
func (h *Claimer) Abandon(_ time.Time, claimID string) refusal.Ran {
	found := h.attempts[claimID]
	if found == nil {
		return refusal.RanUnknown
	}
	switch found.phase {
	case held:
		found.giveUp()
		return refusal.RanNo
	case asking:
		found.giveUp()
	case sent:
		found.abandoned = true
	default:
	}
	return refusal.RanUnknown
}

// UpdateView takes the batchers of a view.
func (h *Claimer) UpdateView(_ time.Time, view membership.View) {
	for number := range h.owners {
		h.owners[number] = view.Owner(BatcherRole(number))
	}
}

// Connected notes a new session to a peer. Whatever it was asked in an earlier one is asked again.
func (h *Claimer) Connected(_ time.Time, peer string, _ uint64) {
	h.connected[peer] = true
	h.forget(peer)
}

// Disconnected notes the end of a session.
func (h *Claimer) Disconnected(_ time.Time, peer string) {
	if peer != h.self {
		delete(h.connected, peer)
	}
	h.forget(peer)
}

// forget notes that requests to a peer may be lost.
func (h *Claimer) forget(peer string) {
	for _, each := range h.order {
		if each.asked == peer {
			each.asked = ""
		}
	}
}

// Receive takes a verdict of a batcher; other messages are ignored. Verdicts are what the log says, so it does not
// matter which batcher sends them.
func (h *Claimer) Receive(now time.Time, _ string, body *fleetpb.Body) {
	verdict := body.GetClaimVerdict()
	found := h.attempts[verdict.GetClaim()]
	if found == nil {
		return
	}
	if found.phase == asking {
		h.decide(now, found, verdict)
	} else if verdict.GetState() == fleetpb.ClaimState_CLAIM_STATE_STORED && found.waiting() {
		found.enter(over)
	}
}

// decide takes the verdict that a claim waits for.
func (h *Claimer) decide(now time.Time, found *attempt, verdict *fleetpb.ClaimVerdict) {
	outcome := Verdict{ClaimID: found.id, Outcome: OutcomeUnknown, RetryAt: now.Add(h.limits.Repeat)}
	switch verdict.GetState() {
	case fleetpb.ClaimState_CLAIM_STATE_HELD:
		found.phase = held
		h.verdicts = append(h.verdicts, Verdict{ClaimID: found.id, Outcome: OutcomeHeld, Fence: verdict.GetOffset()})
		return
	case fleetpb.ClaimState_CLAIM_STATE_UNAVAILABLE:
		if found.asks > 1 {
			found.repeatAt = now.Add(h.limits.Repeat)
			return
		}
		outcome.Outcome = Unavailable
	case fleetpb.ClaimState_CLAIM_STATE_DONE:
		outcome.Outcome, outcome.RetryAt = OutcomeReplay, time.Time{}
		outcome.Status, outcome.Answer = verdict.GetStatus(), verdict.GetAnswer()
	case fleetpb.ClaimState_CLAIM_STATE_CONFLICT:
		outcome.Outcome, outcome.RetryAt = Conflict, time.Time{}
	case fleetpb.ClaimState_CLAIM_STATE_BUSY:
		outcome.Outcome = OutcomeBusy
		if deadline := time.UnixMilli(verdict.GetDeadline()); deadline.Before(outcome.RetryAt) {
			outcome.RetryAt = deadline
		}
	case fleetpb.ClaimState_CLAIM_STATE_UNKNOWN:
	default:
		return
	}
	h.conclude(outcome)
	if found.asks > 1 {
		found.giveUp()
	} else {
		found.enter(over)
	}
}

// Tick returns the requests to send and the verdicts since the last tick.
func (h *Claimer) Tick(now time.Time) ([]message.Envelope, []Verdict) {
	var envelopes []message.Envelope
	for _, each := range h.order {
		if each.phase == asking && !now.Before(each.deadline) {
			h.conclude(Verdict{ClaimID: each.id, Outcome: OutcomeUnknown, RetryAt: now})
			each.giveUp()
		}
		if h.expired(now, each) && each.phase != asking {
			each.enter(over)
		}
		if to := h.due(now, each); to != "" {
			envelopes = append(envelopes, message.Envelope{To: to, Body: each.request()})
		}
	}
	h.order = slices.DeleteFunc(h.order, func(a *attempt) bool {
		if a.phase == over {
			delete(h.attempts, a.id)
		}
		return a.phase == over
	})
	verdicts := h.verdicts
	h.verdicts = nil
	return envelopes, verdicts
}

// due returns the batcher to which the request of a claim is sent now, or an empty string. A claim is sent once in a
// session, because a second copy could overtake the refusal of the first; the other records are repeated until stored.
func (h *Claimer) due(now time.Time, each *attempt) string {
	to := h.owners[Shard(each.key)]
	if !each.waiting() || !h.connected[to] {
		return ""
	}
	repeat := !each.repeatAt.IsZero() && !now.Before(each.repeatAt)
	if each.asked == to && !repeat {
		return ""
	}
	each.asked, each.repeatAt = to, time.Time{}
	if each.phase == asking {
		each.asks++
	} else {
		each.repeatAt = now.Add(h.limits.Repeat)
	}
	return to
}

// expired tells whether the key of a claim is past its window.
func (h *Claimer) expired(now time.Time, each *attempt) bool {
	return now.UnixMilli() > KeyTime(each.key)+h.limits.Window.Milliseconds()
}

// OpenClaimCount returns the number of claims in the holder's table.
func (h *Claimer) OpenClaimCount() int { return len(h.order) }
