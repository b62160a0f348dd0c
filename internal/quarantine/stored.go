package quarantine

import (
	"maps"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Stored is what the store must hold of a fingerprint.
type Stored struct {
	// Fingerprint is what the records concern.
	Fingerprint uint64
	// Records are the crash records of a quarantined fingerprint, and nil for one that is not quarantined any more.
	Records []*fleetpb.CrashRecord
}

// TakeUnsaved returns what this router has to write to the store since the last call: the records of quarantined fingerprints of which it
// recorded a crash, and the fingerprints whose quarantine it has ended or had written.
func (t *Tracker) TakeUnsaved() []Stored {
	var unsaved []Stored
	for _, fingerprint := range slices.Sorted(maps.Keys(t.changed)) {
		found := t.changed[fingerprint]
		switch {
		case t.isQuarantined(found) && found.hasOwnRecord():
			unsaved = append(unsaved, Stored{Fingerprint: fingerprint, Records: found.toProtos()})
			found.stored = true
		case !t.isQuarantined(found) && found.stored:
			unsaved = append(unsaved, Stored{Fingerprint: fingerprint})
			found.stored = false
		}
	}
	clear(t.changed)
	return unsaved
}

// Lift clears the records of a fingerprint whose quarantine another router has ended.
func (t *Tracker) Lift(fingerprint uint64) {
	found, known := t.suspects[fingerprint]
	if !known || !t.isQuarantined(found) {
		return
	}
	t.clear(found)
	found.stored = false
}

// Reloaded compares the quarantines in the store with those that this router has written: what the store has lost is written again.
func (t *Tracker) Reloaded(present map[uint64]bool) {
	for fingerprint, found := range t.suspects {
		if t.isQuarantined(found) && found.stored && !present[fingerprint] {
			t.changed[fingerprint] = found
		}
	}
}
