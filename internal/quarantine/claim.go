package quarantine

import (
	"maps"
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
	// Probes holds the ids of the probes that Alone and Together count, and whether each is one of Together. Probes of routers of earlier
	// versions have no id.
	Probes map[string]bool `json:"probes,omitempty"`
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
// probes of a fingerprint at all routers, whatever each of them has heard. Claims of this router that the store has lost count as well. The
// id must differ from those of all other probes.
func (t *Tracker) DecideProbe(now time.Time, probeID string, quarantined []uint64, known []Claim) ProbeDecision {
	var decision ProbeDecision
	found := make(map[uint64]Claim, len(quarantined))
	for _, claim := range known {
		if claim.Expiry <= now.UnixMilli() {
			decision.Expired = append(decision.Expired, claim.Fingerprint)
		} else if slices.Contains(quarantined, claim.Fingerprint) {
			found[claim.Fingerprint] = claim
		}
	}
	for _, suspected := range t.quarantinedAmong(quarantined) {
		found[suspected.fingerprint] = found[suspected.fingerprint].withProbes(suspected.ownProbes)
	}
	nextAt := t.nextClaimAt(now, found)
	if nextAt.IsZero() || now.Before(nextAt) {
		decision.RetryAt = nextAt
		t.putOffProbe(now, quarantined, nextAt)
		return decision
	}
	probe := map[string]bool{probeID: len(quarantined) > 1}
	for _, fingerprint := range quarantined {
		claim := found[fingerprint].withProbes(probe)
		claim.Fingerprint = fingerprint
		claim.NextAt, claim.Expiry = now.Add(t.limits.ProbeInterval).UnixMilli(), now.Add(t.limits.RecordLifetime).UnixMilli()
		decision.Granted = append(decision.Granted, claim)
	}
	return decision
}

// ProbeClaimed records a probe whose claims this router has written, or may have written.
func (t *Tracker) ProbeClaimed(probeID string, claims []Claim) {
	for _, claim := range claims {
		found, known := t.suspects[claim.Fingerprint]
		if !known || !t.isQuarantined(found) {
			continue
		}
		if found.ownProbes == nil {
			found.ownProbes = make(map[string]bool)
		}
		found.ownProbes[probeID] = claim.Probes[probeID]
	}
}

// ProbeUnsent records that a probe that this router has claimed reached no target, and never will.
func (t *Tracker) ProbeUnsent(probeID string, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		if found, known := t.suspects[fingerprint]; known {
			delete(found.ownProbes, probeID)
		}
	}
}

// LostClaims returns the claims to write so that the probes of this router count again that the store has lost, given all claims in the store.
func (t *Tracker) LostClaims(now time.Time, known []Claim) []Claim {
	found := make(map[uint64]Claim, len(known))
	for _, claim := range known {
		found[claim.Fingerprint] = claim
	}
	var lost []Claim
	for fingerprint, suspected := range t.suspects {
		held := found[fingerprint]
		claim := held.withProbes(suspected.ownProbes)
		if len(claim.Probes) == len(held.Probes) {
			continue
		}
		claim.Fingerprint = fingerprint
		claim.NextAt = max(claim.NextAt, now.Add(t.limits.ProbeInterval).UnixMilli())
		claim.Expiry = max(claim.Expiry, now.Add(t.limits.RecordLifetime).UnixMilli())
		lost = append(lost, claim)
	}
	return lost
}

// WithoutProbes returns the claims to write so that probes that reached no target no longer count. A probe that the claims do not name, since
// that was written before or since its quarantine has ended, changes nothing, so the write may be repeated.
func WithoutProbes(known []Claim, probeIDs []string) []Claim {
	var changed []Claim
	for _, claim := range known {
		remaining := claim
		for _, id := range probeIDs {
			remaining = remaining.withoutProbe(id)
		}
		if len(remaining.Probes) < len(claim.Probes) {
			changed = append(changed, remaining)
		}
	}
	return changed
}

// withProbes returns the claim with those of the given probes that it does not count yet.
func (c Claim) withProbes(probes map[string]bool) Claim {
	named := make(map[string]bool, len(c.Probes)+len(probes))
	maps.Copy(named, c.Probes)
	for id, together := range probes {
		if _, counted := c.Probes[id]; counted {
			continue
		}
		named[id] = together
		if together {
			c.Together++
		} else {
			c.Alone++
		}
	}
	c.Probes = named
	return c
}

// withoutProbe returns the claim without a probe.
func (c Claim) withoutProbe(id string) Claim {
	together, counted := c.Probes[id]
	if !counted {
		return c
	}
	c.Probes = maps.Clone(c.Probes)
	delete(c.Probes, id)
	if together {
		c.Together--
	} else {
		c.Alone--
	}
	return c
}

// nextClaimAt returns the earliest time at which a probe may be claimed after the given claims of its fingerprints, or zero if there must
// be no further one. Clocks of routers may differ, so the time is limited.
func (t *Tracker) nextClaimAt(now time.Time, claims map[uint64]Claim) time.Time {
	nextAt := now
	for _, claim := range claims {
		claimAt := time.UnixMilli(min(claim.NextAt, now.Add(t.limits.ProbeInterval).UnixMilli()))
		if t.limits.isExhausted(claim, len(claims) > 1) {
			claimAt = claimAt.Add(t.limits.ReturnTime)
			if !now.Before(claimAt) {
				return time.Time{}
			}
		}
		nextAt = later(nextAt, claimAt)
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
