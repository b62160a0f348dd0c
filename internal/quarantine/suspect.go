package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// record is one crash of a target that had a request with a suspect's fingerprint.
type record struct {
	target string
	// expiry is when the record is removed, in Unix milliseconds.
	expiry int64
	// cleared is set if a request with the fingerprint was answered.
	cleared bool
	// own is set if this router recorded the crash.
	own bool
}

// suspect is a fingerprint with crash records.
type suspect struct {
	fingerprint uint64
	// byCrash holds the records by the id of the crash.
	byCrash map[string]*record
	// crashCount is the number of records that are not cleared.
	crashCount int
	// stored is set if the store may hold records of the suspect that this router has to remove when the quarantine ends.
	stored bool
	// probeAt is the earliest time of the next probe while the fingerprint is quarantined, ambiguousProbeAt that of a probe with more
	// than one quarantined fingerprint.
	probeAt, ambiguousProbeAt time.Time
	// ownProbes holds the probes that this router has claimed since the fingerprint was quarantined, but those that reached no target. See
	// Claim.Probes.
	ownProbes map[string]bool
}

// add adds a record, or merges it with the record of the same crash. It returns the record in the set and whether that changed
// anything.
func (s *suspect) add(added *fleetpb.CrashRecord) (merged *record, changed bool) {
	known, found := s.byCrash[added.GetCrash()]
	switch {
	case !found:
		known = &record{target: added.GetTarget(), expiry: added.GetExpiry(), cleared: added.GetCleared()}
		s.byCrash[added.GetCrash()] = known
	case known.cleared || !added.GetCleared():
		return known, false
	default:
		known.cleared = true
	}
	s.recount()
	return known, true
}

// clear marks all records as cleared and returns those that were not.
func (s *suspect) clear() []*fleetpb.CrashRecord {
	var cleared []*fleetpb.CrashRecord
	for crash, known := range s.byCrash {
		if !known.cleared {
			known.cleared = true
			cleared = append(cleared, s.toProto(crash, known))
		}
	}
	s.recount()
	return cleared
}

// removeExpired removes the records that have expired and reports whether there were any.
func (s *suspect) removeExpired(nowUnixMilli int64) bool {
	before := len(s.byCrash)
	maps.DeleteFunc(s.byCrash, func(_ string, known *record) bool { return known.expiry <= nowUnixMilli })
	s.recount()
	return len(s.byCrash) < before
}

// hasOwnRecord reports whether this router recorded one of the crashes.
func (s *suspect) hasOwnRecord() bool {
	for _, known := range s.byCrash {
		if known.own {
			return true
		}
	}
	return false
}

// recount sets crashCount from the records.
func (s *suspect) recount() {
	s.crashCount = 0
	for _, known := range s.byCrash {
		if !known.cleared {
			s.crashCount++
		}
	}
}

// crashes returns the ids of the crashes whose records are not cleared, sorted.
func (s *suspect) crashes() []string {
	ids := make([]string, 0, s.crashCount)
	for crash, known := range s.byCrash {
		if !known.cleared {
			ids = append(ids, crash)
		}
	}
	slices.Sort(ids)
	return ids
}

// toProtos returns all records, ordered by crash.
func (s *suspect) toProtos() []*fleetpb.CrashRecord {
	records := make([]*fleetpb.CrashRecord, 0, len(s.byCrash))
	for _, crash := range slices.Sorted(maps.Keys(s.byCrash)) {
		records = append(records, s.toProto(crash, s.byCrash[crash]))
	}
	return records
}

// toProto returns a record as a message for peers.
func (s *suspect) toProto(crash string, known *record) *fleetpb.CrashRecord {
	return &fleetpb.CrashRecord{
		Fingerprint: s.fingerprint, Target: known.target, Crash: crash, Expiry: known.expiry, Cleared: known.cleared,
	}
}
