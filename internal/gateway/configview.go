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
	// confirmedAt is the boottime.Instant as of which the configuration is known to be the newest one.
	confirmedAt atomic.Int64
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
	return v.maxRevocationDelay <= 0 || v.age() < v.maxRevocationDelay-freshnessMargin
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

// CaughtUp records that the configuration was the newest one at the given instant.
func (v *configView) CaughtUp(askedAt boottime.Instant) {
	if int64(askedAt) > v.confirmedAt.Load() { // A peer may confirm an earlier instant than the store.
		v.confirmedAt.Store(int64(askedAt))
	}
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
