package suspect

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// evidence is the set of crash records.
type evidence struct {
	records map[recordID]*record
	// requests and crashes index the records by fingerprint and by crash.
	requests map[uint64][]*record
	crashes  map[string][]*record
	limit    int
}

// newEvidence returns an empty set.
func newEvidence(limit int) *evidence {
	return &evidence{
		records:  make(map[recordID]*record),
		requests: make(map[uint64][]*record),
		crashes:  make(map[string][]*record),
		limit:    limit,
	}
}

// add puts a record into the set and returns it, and whether it is new.
func (e *evidence) add(told *fleetpb.CrashRecord) (*record, bool) {
	id := recordID{fingerprint: told.GetFingerprint(), crash: told.GetCrash()}
	if known := e.records[id]; known != nil {
		known.expiry = min(known.expiry, told.GetExpiry())
		known.alone = known.alone && told.GetAlone()
		return known, false
	}
	if len(e.records) >= e.limit {
		e.shrink()
	}
	added := &record{recordID: id, target: told.GetTarget(), expiry: told.GetExpiry(), alone: told.GetAlone()}
	e.records[id] = added
	e.requests[id.fingerprint] = append(e.requests[id.fingerprint], added)
	e.crashes[id.crash] = append(e.crashes[id.crash], added)
	return added, true
}

// verdict weighs the records of a request. A crash counts half if the request was a suspect already and was not the
// only one on the target, since then the evidence against each of them is the same. A record that comes late can show
// that, so a verdict can become milder.
func (e *evidence) verdict(fingerprint uint64) Verdict {
	records := e.requests[fingerprint]
	if len(records) == 0 {
		return VerdictClear
	}
	halves := 0
	for _, each := range records {
		halves++
		if !e.suspected(each) || each.alone && !e.shared(each) {
			halves++
		}
	}
	if halves >= 4 {
		return VerdictQuarantined
	}
	return VerdictSuspect
}

// known tells whether a request has a record of another crash than the given one.
func (e *evidence) known(fingerprint uint64, crash string) bool {
	return slices.ContainsFunc(e.requests[fingerprint], func(r *record) bool { return r.crash != crash })
}

// suspected tells whether the request had a record of an earlier crash.
func (e *evidence) suspected(at *record) bool {
	return slices.ContainsFunc(e.requests[at.fingerprint], func(r *record) bool { return r.before(at) })
}

// shared tells whether another request that was suspected before was on the target of a crash.
func (e *evidence) shared(at *record) bool {
	return slices.ContainsFunc(e.crashes[at.crash], func(r *record) bool {
		return r.fingerprint != at.fingerprint && e.suspected(r)
	})
}

// expire removes the records whose time has passed.
func (e *evidence) expire(now int64) {
	for _, each := range e.records {
		if each.expiry <= now {
			e.remove(each)
		}
	}
}

// shrink makes room by removing an eighth of the records: those of quarantined requests last, older ones first.
func (e *evidence) shrink() {
	all := e.sorted()
	quarantined := make(map[uint64]bool, len(e.requests))
	for fingerprint := range e.requests {
		quarantined[fingerprint] = e.verdict(fingerprint) == VerdictQuarantined
	}
	rank := func(r *record) int {
		if quarantined[r.fingerprint] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b *record) int { return cmp.Compare(rank(a), rank(b)) })
	for _, each := range all[:len(all)/8+1] {
		e.remove(each)
	}
}

// sorted returns all records, ordered by expiry, crash and fingerprint.
func (e *evidence) sorted() []*record {
	all := make([]*record, 0, len(e.records))
	for _, each := range e.records {
		all = append(all, each)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.expiry, b.expiry), cmp.Compare(a.crash, b.crash),
			cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return all
}

// remove takes a record out of the set.
func (e *evidence) remove(gone *record) {
	delete(e.records, gone.recordID)
	unlink(e.requests, gone.fingerprint, gone)
	unlink(e.crashes, gone.crash, gone)
}

// unlink takes a record out of an index.
func unlink[K comparable](index map[K][]*record, key K, gone *record) {
	rest := slices.DeleteFunc(index[key], func(r *record) bool { return r == gone })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}
