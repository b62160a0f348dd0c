package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

const (
	// pruneInterval is the time between removals of what has expired.
	pruneInterval = time.Second
	// ambiguousDelayFactor is how much longer than others a request with more than one quarantined fingerprint waits to be a probe.
	ambiguousDelayFactor = 3
)

// Crash is a crash of a target.
type Crash struct {
	// ID is the same at all routers that see the crash. It differs from the ids of other crashes of the target.
	ID string
	// Target is the name of the target.
	Target string
}

// Tracker holds a router's crash records and decides which requests are refused. It is not safe for concurrent use.
type Tracker struct {
	limits   Limits
	random   *rand.Rand
	suspects map[uint64]*suspect
	// answeredAt holds the time of the last answer to a request with a fingerprint, for AnswerMemory.
	answeredAt map[uint64]time.Time
	// unsent holds the records to send to each linked peer, by the name of the peer.
	unsent map[string][]*fleetpb.CrashRecord
	// hasUnsent is set if unsent may hold records.
	hasUnsent bool
	// relays is set if this router passes on the records of its peers.
	relays bool
	// changed holds the suspects whose records have changed since the last call of TakeUnsaved.
	changed map[uint64]*suspect
	// changes are the beginnings and ends of quarantines since the last call of TakeChanges.
	changes     []Change
	nextPruneAt time.Time
}

// New returns a tracker without records. The seed determines the delays of probes.
func New(limits Limits, seed uint64) *Tracker {
	return &Tracker{
		limits: limits, random: rand.New(rand.NewPCG(seed, seed)), suspects: make(map[uint64]*suspect),
		answeredAt: make(map[uint64]time.Time), unsent: make(map[string][]*fleetpb.CrashRecord),
		changed: make(map[uint64]*suspect),
	}
}

// Admit returns the verdict on a request with the given fingerprints. If the verdict is Probe, the request may be sent once the claims of
// its probe are in the store. A request with more than one quarantined fingerprint is a probe only later than others, since its crash
// would not tell which of them is the cause.
func (t *Tracker) Admit(now time.Time, fingerprints []uint64) Verdict {
	quarantined := t.quarantinedAmong(fingerprints)
	for _, found := range quarantined {
		probeAt := found.probeAt
		if len(quarantined) > 1 {
			probeAt = found.ambiguousProbeAt
		}
		if now.Before(probeAt) {
			return Verdict{Refused: true, Fingerprint: found.fingerprint, RetryAt: probeAt}
		}
	}
	if len(quarantined) == 0 {
		return Verdict{}
	}
	for _, found := range quarantined {
		t.scheduleProbe(now, found)
	}
	return Verdict{Probe: true, Fingerprint: quarantined[0].fingerprint}
}

// Quarantined returns those of the fingerprints that are quarantined.
func (t *Tracker) Quarantined(fingerprints []uint64) []uint64 {
	found := t.quarantinedAmong(fingerprints)
	quarantined := make([]uint64, 0, len(found))
	for _, suspected := range found {
		quarantined = append(quarantined, suspected.fingerprint)
	}
	return quarantined
}

// quarantinedAmong returns the suspects among the fingerprints that are quarantined.
func (t *Tracker) quarantinedAmong(fingerprints []uint64) []*suspect {
	var quarantined []*suspect
	for _, fingerprint := range fingerprints {
		if found, known := t.suspects[fingerprint]; known && t.isQuarantined(found) {
			quarantined = append(quarantined, found)
		}
	}
	return quarantined
}

// RecordCrash records a crash of a target that had not begun to answer a request with the given fingerprints. It is called for each
// such request, and may be called more than once for the same one. If some of the fingerprints are quarantined, the crash does not
// speak against the others.
func (t *Tracker) RecordCrash(now time.Time, crash Crash, fingerprints []uint64) {
	explained := len(t.quarantinedAmong(fingerprints)) > 0
	for _, fingerprint := range fingerprints {
		known := t.suspects[fingerprint]
		if t.wasAnswered(now, fingerprint) || explained && (known == nil || !t.isQuarantined(known)) {
			continue
		}
		crashRecord := &fleetpb.CrashRecord{
			Fingerprint: fingerprint, Target: crash.Target, Crash: crash.ID, Expiry: now.Add(t.limits.RecordLifetime).UnixMilli(),
		}
		if _, merged, changed := t.add(now, crashRecord); changed {
			merged.own = true
			t.send(crashRecord)
		}
	}
}

// RecordAnswer records that a target has answered a request with the given fingerprints completely. It clears their crash records.
func (t *Tracker) RecordAnswer(now time.Time, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		t.answeredAt[fingerprint] = now
		if found, known := t.suspects[fingerprint]; known && found.crashCount > 0 {
			t.send(t.clear(found)...)
		}
	}
}

// TakeChanges returns the beginnings and ends of quarantines since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// QuarantinedCount returns the number of quarantined fingerprints.
func (t *Tracker) QuarantinedCount() int {
	count := 0
	for _, found := range t.suspects {
		if t.isQuarantined(found) {
			count++
		}
	}
	return count
}

// isQuarantined reports whether requests with the fingerprint of a suspect are refused.
func (t *Tracker) isQuarantined(found *suspect) bool {
	return found.crashCount >= t.limits.CrashThreshold
}

// wasAnswered reports whether a request with a fingerprint was answered within AnswerMemory.
func (t *Tracker) wasAnswered(now time.Time, fingerprint uint64) bool {
	at, found := t.answeredAt[fingerprint]
	return found && now.Sub(at) <= t.limits.AnswerMemory
}

// add adds a record or merges it with a known one. It returns the suspect, the record in the set, and whether that changed anything.
func (t *Tracker) add(now time.Time, added *fleetpb.CrashRecord) (found *suspect, merged *record, changed bool) {
	found, known := t.suspects[added.GetFingerprint()]
	if !known {
		if len(t.suspects) >= t.limits.MaxFingerprints {
			t.evict()
		}
		found = &suspect{fingerprint: added.GetFingerprint(), byCrash: make(map[string]*record)}
		t.suspects[found.fingerprint] = found
	}
	wasQuarantined, previousCount := t.isQuarantined(found), found.crashCount
	merged, changed = found.add(added)
	if changed {
		t.changed[found.fingerprint] = found
	}
	t.noteChange(found, wasQuarantined)
	if found.crashCount > previousCount && t.isQuarantined(found) {
		t.scheduleProbe(now, found)
	}
	return found, merged, changed
}

// clear clears the records of a suspect and returns those that were not cleared before.
func (t *Tracker) clear(found *suspect) []*fleetpb.CrashRecord {
	wasQuarantined := t.isQuarantined(found)
	cleared := found.clear()
	// Whoever ends a quarantine removes it from the store, since the router that wrote it may be gone.
	found.stored = found.stored || wasQuarantined
	t.changed[found.fingerprint] = found
	t.noteChange(found, wasQuarantined)
	return cleared
}

// noteChange records the beginning or the end of a quarantine.
func (t *Tracker) noteChange(found *suspect, wasQuarantined bool) {
	if quarantined := t.isQuarantined(found); quarantined != wasQuarantined {
		found.ownProbes, found.probeAt, found.ambiguousProbeAt = nil, time.Time{}, time.Time{}
		t.changes = append(t.changes, Change{Fingerprint: found.fingerprint, Quarantined: quarantined, Crashes: found.crashes()})
	}
}

// scheduleProbe puts off the next probe.
func (t *Tracker) scheduleProbe(now time.Time, found *suspect) {
	delay := t.limits.ProbeDelay + time.Duration(t.random.Float64()*float64(t.limits.ProbeDelay))
	found.probeAt = later(found.probeAt, now.Add(delay))
	found.ambiguousProbeAt = later(found.ambiguousProbeAt, now.Add(ambiguousDelayFactor*delay))
}

// prune removes expired records and answers, at most once in pruneInterval.
func (t *Tracker) prune(now time.Time) {
	if now.Before(t.nextPruneAt) {
		return
	}
	t.nextPruneAt = now.Add(pruneInterval)
	maps.DeleteFunc(t.answeredAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > t.limits.AnswerMemory })
	for fingerprint, found := range t.suspects {
		wasQuarantined := t.isQuarantined(found)
		if found.removeExpired(now.UnixMilli()) {
			t.changed[fingerprint] = found
		}
		t.noteChange(found, wasQuarantined)
		if len(found.byCrash) == 0 {
			delete(t.suspects, fingerprint)
		}
	}
}

// evict removes an eighth of the suspects, those with the fewest crashes first.
func (t *Tracker) evict() {
	order := slices.SortedFunc(maps.Values(t.suspects), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.crashCount, b.crashCount), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, found := range order[:len(order)/8+1] {
		delete(t.suspects, found.fingerprint)
	}
}
