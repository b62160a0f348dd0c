package suspect

import (
	"cmp"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// record is one crash record in the table.
type record struct {
	recordID
	target string
	// expiry is the earliest one told, in Unix milliseconds. It tells the order of crashes as well.
	expiry int64
	// alone is unset if any router saw another suspect on the target.
	alone bool
	// logged is set once the record was read from the log.
	logged bool
	// own is set for a record of this router's requests.
	own bool
	// due is the earliest instant of the next append, while the record is not logged.
	due time.Time
}

// before orders the records of different crashes by the time of the crash.
func (r *record) before(other *record) bool {
	return cmp.Or(cmp.Compare(r.expiry, other.expiry), cmp.Compare(r.crash, other.crash)) < 0
}

// message returns the record for peers and the log.
func (r *record) message() *fleetpb.CrashRecord {
	return &fleetpb.CrashRecord{
		Fingerprint: r.fingerprint, Target: r.target, Crash: r.crash, Expiry: r.expiry, Alone: r.alone,
	}
}
