package claim

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// openClaim is a claim that its Claimer has not removed yet.
type openClaim struct {
	id       string
	key      uuid.UUID
	customer uint32
	bodyHash []byte
	deadline time.Time
	phase    claimPhase
	// status and answer are those of the target, set in phaseStoring.
	status uint32
	answer []byte
	// sentTo is the batcher to which the message of the current phase was sent in the current session; empty if it was not.
	sentTo string
	// claimSends counts how often a batcher was asked to append the claim record. After more than one time, the refusal of
	// one batcher does not rule out that another one has appended it.
	claimSends int
	// abandoned is set if the caller gave up the request after it was sent.
	abandoned bool
	// retryAt is the time at which the message of the current phase is sent again in the same session; zero if it is not.
	retryAt time.Time
}

// messageBody returns the message to the batcher for the current phase.
func (c *openClaim) messageBody() *fleetpb.Body {
	request := &fleetpb.ClaimRequest{Shard: uint32(KeyShard(c.key)), Key: slices.Clone(c.key[:]), Claim: c.id}
	switch c.phase {
	case phaseClaiming:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_CLAIM
		request.Customer, request.BodyHash, request.Deadline = c.customer, c.bodyHash, c.deadline.UnixMilli()
	case phaseStoring:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_DONE
		request.Status, request.Answer = c.status, c.answer
	default:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_RELEASE
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_ClaimRequest{ClaimRequest: request}}
}

// setPhase starts a phase whose message was not sent yet.
func (c *openClaim) setPhase(next claimPhase) {
	c.phase, c.sentTo, c.retryAt = next, "", time.Time{}
}

// releaseOrClose gives up a claim whose request did not run and will not be sent. A claim that was never sent to a batcher
// needs no release.
func (c *openClaim) releaseOrClose() {
	if c.claimSends == 0 {
		c.setPhase(phaseClosed)
		return
	}
	c.setPhase(phaseReleasing)
}

// needsMessage reports whether the current phase needs a message to the batcher.
func (c *openClaim) needsMessage() bool {
	return c.phase == phaseClaiming || c.phase == phaseStoring || c.phase == phaseReleasing
}
