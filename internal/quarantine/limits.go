package quarantine

import "time"

// Limits are the limits and intervals of a Tracker.
type Limits struct {
	// CrashThreshold is the number of crashes after which a fingerprint is quarantined.
	CrashThreshold int
	// ProbeDelay is the minimum time from a crash, or from the last look at the claims, to the next one. Each router adds a random delay of at
	// most the same length, so that they do not all claim the same probe.
	ProbeDelay time.Duration
	// ProbeInterval is the minimum time between two probes of a fingerprint, at whatever routers.
	ProbeInterval time.Duration
	// MaxProbesAlone is the maximum number of probes of a fingerprint at all routers, until its quarantine ends, in which no other fingerprint is
	// quarantined. MaxProbesTogether is that of probes with another one: they use up nothing that a sound part needs to be told apart.
	MaxProbesAlone, MaxProbesTogether int
	// ReturnTime is the time after ProbeInterval in which the claim of a probe that reached no target may still be taken back. Until then,
	// routers look again at claims that leave no further probe.
	ReturnTime time.Duration
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
		CrashThreshold:    3,
		ProbeDelay:        2 * time.Second,
		ProbeInterval:     2 * time.Second,
		MaxProbesAlone:    2,
		MaxProbesTogether: 1,
		ReturnTime:        8 * time.Second,
		AnswerMemory:      time.Second,
		RecordLifetime:    time.Hour,
		MaxFingerprints:   10_000,
	}
}
