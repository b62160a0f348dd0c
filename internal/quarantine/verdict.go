package quarantine

import "time"

// Verdict says whether a request may be sent to a target.
type Verdict struct {
	// Refused is set if the request must not be sent to any target.
	Refused bool
	// Probe is set if the request may be sent although one of its fingerprints is quarantined, once its claims are in the store.
	Probe bool
	// Fingerprint is the quarantined fingerprint of a refused request or of a probe.
	Fingerprint uint64
	// RetryAt is the earliest time at which a request with the fingerprint may be sent again. It is zero if that may take as long as
	// the lifetime of a record.
	RetryAt time.Time
}

// Change is the beginning or the end of a quarantine.
type Change struct {
	// Fingerprint is what the quarantine concerns.
	Fingerprint uint64
	// Quarantined is set at the beginning.
	Quarantined bool
	// Crashes are the ids of the crashes that speak against the fingerprint.
	Crashes []string
}
