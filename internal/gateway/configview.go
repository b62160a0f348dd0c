package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/route"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// freshnessMargin is subtracted from the maximum revocation delay when the age of the configuration is checked. It covers
// the time between the check of an API key and the use of the result.
const freshnessMargin = 150 * time.Millisecond

// configView holds the newest configuration that this router has read. It never goes back to an older version. Table, age
// and fresh are safe for concurrent use; the other methods belong to the goroutine that follows the topic.
type configView struct {
	decode func(topiclog.Record) (*route.Table, error)
	logger zerolog.Logger
	// maxRevocationDelay is Settings.MaxRevocationDelay. Zero means no limit.
	maxRevocationDelay time.Duration
	table              atomic.Pointer[route.Table]
	// readAsOf is the boottime.Instant as of which the configuration is the newest one in the store, confirmedAt that as of which it is known to
	// be the newest one that was published: the store may have come back from an older copy.
	readAsOf, confirmedAt atomic.Int64
	// isComplete reports whether a read that is complete as of a time has all that was ever written.
	isComplete func(asOf time.Time) bool
	// storeDown reports whether the last read of the store failed.
	storeDown bool
	// onNewTable is called with each new table.
	onNewTable func(*route.Table)
}

// Table returns the configuration in use, or nil if none has been read yet.
func (v *configView) Table() *route.Table { return v.table.Load() }

// version returns the version of the configuration in use, or zero if none has been read yet. It is safe for concurrent use.
func (v *configView) version() uint64 {
	table := v.Table()
	if table == nil {
		return 0
	}
	return table.Version()
}

// age returns the time since the instant as of which the configuration is known to be the newest one.
func (v *configView) age() time.Duration {
	return boottime.Now().Sub(boottime.Instant(v.confirmedAt.Load()))
}

// fresh reports whether an API key in the configuration can be accepted without exceeding the maximum revocation delay.
func (v *configView) fresh() bool {
	if v.maxRevocationDelay <= 0 {
		return true
	}
	v.confirm()
	return v.age() < v.maxRevocationDelay-freshnessMargin
}

// confirm takes the last read as a confirmation if it has all that was ever written.
func (v *configView) confirm() {
	asOf := v.readAsOf.Load()
	if confirmedAt := v.confirmedAt.Load(); asOf > confirmedAt && v.isComplete(boottime.Instant(asOf).Time()) {
		v.confirmedAt.CompareAndSwap(confirmedAt, asOf)
	}
}

// Reset takes the newest record of every key.
func (v *configView) Reset(now time.Time, records []topiclog.Record) { v.Apply(now, records) }

// Apply takes newer records and uses the newest configuration among them. Records that cannot be decoded are logged and
// skipped.
func (v *configView) Apply(_ time.Time, records []topiclog.Record) {
	for _, record := range records {
		table, err := v.decode(record)
		if err != nil {
			event.RecordInvalid.Log(v.logger, "config", record.Key, err)
			continue
		}
		current := v.table.Load()
		if table == nil || current != nil && table.Version() <= current.Version() {
			continue
		}
		v.table.Store(table)
		v.onNewTable(table)
		event.TableApplied.Log(v.logger, table.Version(), table.RouteCount())
	}
}

// CaughtUp records that the configuration was the newest one in the store at the given instant.
func (v *configView) CaughtUp(askedAt boottime.Instant) {
	if int64(askedAt) > v.readAsOf.Load() { // A peer may confirm an earlier instant than the store.
		v.readAsOf.Store(int64(askedAt))
	}
	v.confirm()
	if v.storeDown {
		v.storeDown = false
		event.StoreUp.Log(v.logger, "config")
	}
}

// Failed records that the store did not reply.
func (v *configView) Failed(_ time.Time, err error) {
	if !v.storeDown {
		v.storeDown = true
		event.StoreDown.Log(v.logger, "config", err, v.age().Milliseconds())
	}
}
