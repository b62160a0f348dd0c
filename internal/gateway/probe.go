package gateway

import (
	"context"
	"time"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// admitSuspect returns a refusal if the request, or a part of its prompt, is quarantined and the next attempt cannot be a probe.
func (x *exchange) admitSuspect() *refusal.Error {
	if x.probeUntil != 0 {
		return nil // The last attempt reached no target, so the probe has not been sent yet.
	}
	var refusalErr *refusal.Error
	x.probe, refusalErr = x.gateway.suspects.admit(x.fingerprints)
	return refusalErr
}

// authorizeSend is called right before an attempt. It claims the probe if the attempt is one, and returns a refusal if the request must not be
// sent: it may have been quarantined while it waited for a target.
func (x *exchange) authorizeSend(ctx context.Context) *refusal.Error {
	quarantined := x.gateway.suspects.quarantined(x.fingerprints)
	now := time.Now()
	claimedAt := boottime.Now()
	switch {
	case len(quarantined) == 0 || claimedAt.Before(x.probeUntil):
		return nil
	case !x.probe || x.probeUntil != 0:
		return refuseQuarantined(now, now.Add(retryAfter))
	}
	granted, retryAt := x.gateway.claims.claim(ctx, quarantined)
	now = time.Now()
	if !granted {
		return refuseQuarantined(now, retryAt)
	}
	x.probeUntil = claimedAt.Add(claimLifetime)
	if !boottime.Now().Before(x.probeUntil) { // The process was held up, or its host suspended.
		return refuseQuarantined(now, now.Add(retryAfter))
	}
	event.QuarantineProbed.Log(x.gateway.logger, quarantined[0], x.info.ID)
	return nil
}

// endProbe records that the claimed probe has been sent, so that the next attempt needs another one.
func (x *exchange) endProbe() { x.probe, x.probeUntil = false, 0 }
