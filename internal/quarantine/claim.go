package quarantine

import (
	"slices"
	"time"
)

// Claim is what the store holds of the probes of a fingerprint. A router may send a probe only after it has written the claims of all
// quarantined fingerprints of the request, on the condition that nobody has written one since it read them.
type Claim struct {
	// Fingerprint is what the probes concern.
	Fingerprint uint64 `json:"-"`
	// Alone is the number of probes without another quarantined fingerprint, Together that of probes with one.
	Alone    int `json:"alone"`
	Together int `json:"together"`
	// NextAt is the earliest time of the next probe, and Expiry the time at which the claim is forgotten, both in Unix milliseconds.
	NextAt int64 `json:"next"`
	Expiry int64 `json:"expiry"`
}

// ProbeDecision says whether a probe may be claimed.
type ProbeDecision struct {
	// Granted holds the claims to write, one for each fingerprint of the probe. It is empty if there must not be a probe.
	Granted []Claim
	// Expired holds the fingerprints whose claims can be removed.
	Expired []uint64
	// RetryAt is when a probe may be claimed that must not be claimed now. It is zero if there is none left until the quarantine ends.
	RetryAt time.Time
}

// DecideProbe decides on a probe of a request with the given quarantined fingerprints, from all claims in the store. The claims bound the
// probes of a fingerprint at all routers, whatever each of them has heard. Claims of this router that the store has lost count as well.
func (t *Tracker) DecideProbe(now time.Time, quarantined []uint64, known []Claim) ProbeDecision {
	var decision ProbeDecision
	found := make(map[uint64]Claim, len(quarantined))
	for _, suspected := range t.quarantinedAmong(quarantined) {
		found[suspected.fingerprint] = suspected.claim
	}
	for _, claim := range known {
		if claim.Expiry <= now.UnixMilli() {
			decision.Expired = append(decision.Expired, claim.Fingerprint)
		} else if slices.Contains(quarantined, claim.Fingerprint) {
			found[claim.Fingerprint] = mergeClaims(found[claim.Fingerprint], claim)
		}
	}
	nextAt := t.nextClaimAt(now, found)
	if nextAt.IsZero() || now.Before(nextAt) {
		decision.RetryAt = nextAt
		t.putOffProbe(now, quarantined, nextAt)
		return decision
	}
	for _, fingerprint := range quarantined {
		claim := found[fingerprint]
		claim.Fingerprint = fingerprint
		claim.NextAt, claim.Expiry = now.Add(t.limits.ProbeInterval).UnixMilli(), now.Add(t.limits.RecordLifetime).UnixMilli()
		if len(quarantined) > 1 {
			claim.Together++
		} else {
			claim.Alone++
		}
		decision.Granted = append(decision.Granted, claim)
	}
	return decision
}

// ProbeClaimed records claims that this router has written, or may have written.
func (t *Tracker) ProbeClaimed(claims []Claim) {
	for _, claim := range claims {
		if found, known := t.suspects[claim.Fingerprint]; known && t.isQuarantined(found) {
			found.claim = claim
		}
	}
}

// nextClaimAt returns the earliest time at which a probe may be claimed after the given claims of its fingerprints, or zero if there must
// be no further one. Clocks of routers may differ, so the time is limited.
func (t *Tracker) nextClaimAt(now time.Time, claims map[uint64]Claim) time.Time {
	nextAt := now
	for _, claim := range claims {
		if t.limits.isExhausted(claim, len(claims) > 1) {
			return time.Time{}
		}
		nextAt = later(nextAt, time.UnixMilli(min(claim.NextAt, now.Add(t.limits.ProbeInterval).UnixMilli())))
	}
	return nextAt
}

// putOffProbe puts off the next look at the claims of the given fingerprints to nextAt, and for long if that is zero.
func (t *Tracker) putOffProbe(now time.Time, quarantined []uint64, nextAt time.Time) {
	if nextAt.IsZero() {
		nextAt = now.Add(t.limits.RecordLifetime)
	}
	for _, found := range t.quarantinedAmong(quarantined) {
		if len(quarantined) == 1 {
			found.probeAt = later(found.probeAt, nextAt)
		}
		found.ambiguousProbeAt = later(found.ambiguousProbeAt, nextAt)
	}
}

// mergeClaims returns what two claims of a fingerprint say together.
func mergeClaims(a, b Claim) Claim {
	return Claim{
		Fingerprint: b.Fingerprint, Alone: max(a.Alone, b.Alone), Together: max(a.Together, b.Together),
		NextAt: max(a.NextAt, b.NextAt), Expiry: max(a.Expiry, b.Expiry),
	}
}

// isExhausted reports whether there must be no further probe of a fingerprint, alone or together with others.
func (l Limits) isExhausted(claim Claim, together bool) bool {
	if together {
		return claim.Together >= l.MaxProbesTogether
	}
	return claim.Alone >= l.MaxProbesAlone
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
