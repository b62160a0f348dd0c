package suspect

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// recordSet is a set of crash records with at most maxRecords members.
type recordSet struct {
	byID map[recordID]*record
	// byFingerprint and byCrash index the records by the request and by the crash. They have no empty entries.
	byFingerprint map[uint64][]*record
	byCrash       map[string][]*record
	maxRecords    int
}

// newRecordSet returns an empty set.
func newRecordSet(maxRecords int) *recordSet {
	return &recordSet{
		byID:          make(map[recordID]*record),
		byFingerprint: make(map[uint64][]*record),
		byCrash:       make(map[string][]*record),
		maxRecords:    maxRecords,
	}
}

// add adds a crash record, or merges it with the record of the same request and crash: the earlier expiry applies, and alone
// stays set only if it is set in both. It returns the record in the set and whether it is new. A full set first evicts records.
func (s *recordSet) add(crashRecord *fleetpb.CrashRecord) (*record, bool) {
	id := recordID{fingerprint: crashRecord.GetFingerprint(), crashID: crashRecord.GetCrash()}
	if existing := s.byID[id]; existing != nil {
		existing.expiry = min(existing.expiry, crashRecord.GetExpiry())
		existing.alone = existing.alone && crashRecord.GetAlone()
		return existing, false
	}
	if len(s.byID) >= s.maxRecords {
		s.evict()
	}
	added := &record{recordID: id, target: crashRecord.GetTarget(), expiry: crashRecord.GetExpiry(), alone: crashRecord.GetAlone()}
	s.byID[id] = added
	s.byFingerprint[id.fingerprint] = append(s.byFingerprint[id.fingerprint], added)
	s.byCrash[id.crashID] = append(s.byCrash[id.crashID], added)
	return added, true
}

// verdict returns the verdict on a request. A crash counts two points against it, and four points quarantine it. A crash counts
// only one point if the request already was a suspect and another suspect was on the target too, because either of them may have
// caused the crash. A record that arrives late can show that, so a verdict can become milder.
func (s *recordSet) verdict(fingerprint uint64) Verdict {
	records := s.byFingerprint[fingerprint]
	if len(records) == 0 {
		return VerdictClear
	}
	points := 0
	for _, rec := range records {
		points++
		if !s.hadEarlierCrash(rec) || rec.alone && !s.sharedTargetWithSuspect(rec) {
			points++
		}
	}
	if points >= 4 {
		return VerdictQuarantined
	}
	return VerdictSuspect
}

// hasOtherCrash reports whether a request has a record of another crash than crashID.
func (s *recordSet) hasOtherCrash(fingerprint uint64, crashID string) bool {
	return slices.ContainsFunc(s.byFingerprint[fingerprint], func(r *record) bool { return r.crashID != crashID })
}

// hadEarlierCrash reports whether the request of a record also has a record of an earlier crash.
func (s *recordSet) hadEarlierCrash(rec *record) bool {
	return slices.ContainsFunc(s.byFingerprint[rec.fingerprint], func(other *record) bool { return other.before(rec) })
}

// sharedTargetWithSuspect reports whether another request, which was a suspect already, was on the target in the crash of a
// record.
func (s *recordSet) sharedTargetWithSuspect(rec *record) bool {
	return slices.ContainsFunc(s.byCrash[rec.crashID], func(other *record) bool {
		return other.fingerprint != rec.fingerprint && s.hadEarlierCrash(other)
	})
}

// removeExpired removes the records that have expired.
func (s *recordSet) removeExpired(nowUnixMilli int64) {
	for _, rec := range s.byID {
		if rec.expiry <= nowUnixMilli {
			s.remove(rec)
		}
	}
}

// evict removes an eighth of the records, the earliest expiry first. Records of quarantined requests are removed last.
func (s *recordSet) evict() {
	candidates := s.sortedByExpiry()
	quarantined := make(map[uint64]bool, len(s.byFingerprint))
	for fingerprint := range s.byFingerprint {
		quarantined[fingerprint] = s.verdict(fingerprint) == VerdictQuarantined
	}
	rank := func(r *record) int {
		if quarantined[r.fingerprint] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(candidates, func(a, b *record) int { return cmp.Compare(rank(a), rank(b)) })
	for _, rec := range candidates[:len(candidates)/8+1] {
		s.remove(rec)
	}
}

// sortedByExpiry returns all records, ordered by expiry, crash id and fingerprint.
func (s *recordSet) sortedByExpiry() []*record {
	sorted := make([]*record, 0, len(s.byID))
	for _, rec := range s.byID {
		sorted = append(sorted, rec)
	}
	slices.SortFunc(sorted, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.expiry, b.expiry), cmp.Compare(a.crashID, b.crashID),
			cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return sorted
}

// remove removes a record from the set and its indexes.
func (s *recordSet) remove(rec *record) {
	delete(s.byID, rec.recordID)
	removeFromIndex(s.byFingerprint, rec.fingerprint, rec)
	removeFromIndex(s.byCrash, rec.crashID, rec)
}

// removeFromIndex removes a record from an index, and the key if no record is left for it.
func removeFromIndex[K comparable](index map[K][]*record, key K, rec *record) {
	remaining := slices.DeleteFunc(index[key], func(other *record) bool { return other == rec })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}
