package quarantine

import "time"

// Limits are the limits and intervals of a Tracker.
type Limits struct {
	// CrashThreshold is the number of crashes after which a fingerprint is quarantined.
	CrashThreshold int
	// ProofThreshold is the number of crashes after which no more probes are sent, unless something else may have caused all of them.
	ProofThreshold int
	// ProbeDelay is the minimum time from a crash to the next probe, for a fingerprint with CrashThreshold crashes. It doubles with each
	// further crash. Each router adds a random delay of at most the same length, so that one probe is usually answered before another
	// router sends one.
	ProbeDelay time.Duration
	// AnswerMemory is the time for which an answer prevents crash records: what was answered so recently does not crash targets.
	AnswerMemory time.Duration
	// RecordLifetime is the time from a crash to the expiry of its records.
	RecordLifetime time.Duration
	// MaxFingerprints is the maximum number of fingerprints with records.
	MaxFingerprints int
}

// DefaultLimits returns the limits that apply unless the deployment sets others.
func DefaultLimits() Limits {
	return Limits{
		CrashThreshold:  3,
		ProofThreshold:  5,
		ProbeDelay:      2 * time.Second,
		AnswerMemory:    time.Second,
		RecordLifetime:  time.Hour,
		MaxFingerprints: 10_000,
	}
}
