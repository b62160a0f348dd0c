package gateway

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// probe is what a request may do as a probe of its quarantined fingerprints.
type probe struct {
	// allowed is set if the next attempt may be a probe.
	allowed bool
	// id identifies the probe that the request has claimed and that no target can have received. It is empty if there is none.
	id string
	// fingerprints are those that the claims concern, and sendUntil is the time until which the probe may be sent.
	fingerprints []uint64
	sendUntil    boottime.Instant
}

// admitSuspect returns a refusal if the request, or a part of its prompt, is quarantined and the next attempt cannot be a probe.
func (x *exchange) admitSuspect() *refusal.Error {
	if x.probe.id != "" {
		return nil // The last attempt reached no target, so the probe has not been sent yet.
	}
	var refusalErr *refusal.Error
	x.probe.allowed, refusalErr = x.gateway.suspects.admit(x.fingerprints)
	return refusalErr
}

// authorizeSend is called right before an attempt. It claims the probe if the attempt is one, and returns a refusal if the request must not be
// sent: it may have been quarantined while it waited for a target.
func (x *exchange) authorizeSend(ctx context.Context) *refusal.Error {
	quarantined := x.gateway.suspects.quarantined(x.fingerprints)
	now := time.Now()
	claimedAt := boottime.Now()
	switch {
	case len(quarantined) == 0 || claimedAt.Before(x.probe.sendUntil):
		return nil
	case !x.probe.allowed || x.probe.id != "":
		return refuseQuarantined(now, now.Add(retryAfter))
	}
	id := rand.Text()
	granted, retryAt := x.gateway.claims.claim(ctx, id, quarantined)
	now = time.Now()
	if !granted {
		return refuseQuarantined(now, retryAt)
	}
	x.probe = probe{allowed: true, id: id, fingerprints: quarantined, sendUntil: claimedAt.Add(claimLifetime)}
	if !boottime.Now().Before(x.probe.sendUntil) { // The process was held up, or its host suspended.
		return refuseQuarantined(now, now.Add(retryAfter))
	}
	event.QuarantineProbed.Log(x.gateway.logger, quarantined[0], x.info.ID)
	return nil
}

// takeProbe removes the probe from the request and returns it. It is called right before the request is sent: from then on a target may
// have the probe, whatever happens, unless the attempt turns out to have reached none.
func (x *exchange) takeProbe() probe {
	taken := x.probe
	x.probe = probe{}
	return taken
}

// returnProbe takes back the claim of a probe that the request has not sent when it ends.
func (x *exchange) returnProbe() {
	unsent := x.takeProbe()
	if unsent.id == "" {
		return
	}
	event.ProbeUnsent.Log(x.gateway.logger, unsent.fingerprints[0], x.info.ID)
	x.gateway.claims.takeBack(unsent.id, unsent.fingerprints)
}
