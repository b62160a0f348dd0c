package claim

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// attempt is one claim of the holder.
type attempt struct {
	id       string
	key      uuid.UUID
	customer uint32
	bodyHash []byte
	deadline time.Time
	phase    phase
	status   uint32
	answer   []byte
	// asked is the batcher that has the current request in this session; empty if none has.
	asked string
	// asks counts the requests of the claim record. After more than one, a refusal of one batcher says nothing of what
	// another one appended.
	asks int
	// abandoned is set if the caller gave the request up after it was sent.
	abandoned bool
	// repeatAt is the instant at which the request is sent again; zero for never.
	repeatAt time.Time
}

// request returns the message for the current phase.
func (a *attempt) request() *fleetpb.Body {
	request := &fleetpb.ClaimRequest{Shard: uint32(Shard(a.key)), Key: slices.Clone(a.key[:]), Claim: a.id}
	switch a.phase {
	case asking:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_CLAIM
		request.Customer, request.BodyHash, request.Deadline = a.customer, a.bodyHash, a.deadline.UnixMilli()
	case storing:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_DONE
		request.Status, request.Answer = a.status, a.answer
	default:
		request.Step = fleetpb.ClaimStep_CLAIM_STEP_RELEASE
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_ClaimRequest{ClaimRequest: request}}
}

// enter begins a phase whose request has not been sent.
func (a *attempt) enter(next phase) {
	a.phase, a.asked, a.repeatAt = next, "", time.Time{}
}

// giveUp ends a claim that was not sent and never will be. A claim that no batcher got needs no release.
func (a *attempt) giveUp() {
	if a.asks == 0 {
		a.enter(over)
		return
	}
	a.enter(releasing)
}

// waiting tells whether the claim has a request to send.
func (a *attempt) waiting() bool {
	return a.phase == asking || a.phase == storing || a.phase == releasing
}
