package suspect

import (
	"cmp"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// record is a crash record in a recordSet.
type record struct {
	recordID
	target string
	// expiry is the earliest expiry received for this record, in Unix milliseconds. It also gives the order of crashes, because
	// all records have the same lifetime.
	expiry int64
	// alone is false if any router saw another suspect on the target.
	alone bool
	// inLog is set once the record has been read from the log.
	inLog bool
	// local is set if this router recorded the crash for one of its own requests.
	local bool
	// nextAppendAt is the earliest time of the next append of the record while it is not in the log.
	nextAppendAt time.Time
}

// before reports whether a record's crash came before the crash of another record. Crashes with the same expiry are ordered by
// id.
func (r *record) before(other *record) bool {
	return cmp.Or(cmp.Compare(r.expiry, other.expiry), cmp.Compare(r.crashID, other.crashID)) < 0
}

// toProto returns the record as a message for peers and the log.
func (r *record) toProto() *fleetpb.CrashRecord {
	return &fleetpb.CrashRecord{
		Fingerprint: r.fingerprint, Target: r.target, Crash: r.crashID, Expiry: r.expiry, Alone: r.alone,
	}
}
