package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/route"
)

// freshMargin is how long before the bound of revocation a configuration counts as too old. It covers the time between
// the check of a key and its use.
const freshMargin = 150 * time.Millisecond

// configView is the newest configuration that this router has read. The table only ever gets newer.
type configView struct {
	decode    func(keyed.Record) (*route.Table, error)
	logger    zerolog.Logger
	bound     time.Duration
	table     atomic.Pointer[route.Table]
	confirmed atomic.Int64
	lost      bool
	// applied is called with each new table.
	applied func(*route.Table)
}

// Table returns the configuration in force, nil if there is none yet.
func (b *configView) Table() *route.Table { return b.table.Load() }

// age returns the time since the store confirmed that there is no newer configuration.
func (b *configView) age() time.Duration {
	return boottime.Now().Sub(boottime.Instant(b.confirmed.Load()))
}

// fresh tells whether a key that was taken away can still be accepted without breaking the bound.
func (b *configView) fresh() bool { return b.bound <= 0 || b.age() < b.bound-freshMargin }

// Reset takes the newest records.
func (b *configView) Reset(now time.Time, records []keyed.Record) { b.Apply(now, records) }

// Apply takes over newer configurations. A record that cannot be read changes nothing.
func (b *configView) Apply(_ time.Time, records []keyed.Record) {
	for _, record := range records {
		table, err := b.decode(record)
		if err != nil {
			event.RecordInvalid.Log(b.logger, "config", record.Key, err)
			continue
		}
		current := b.table.Load()
		if table == nil || current != nil && table.Version() <= current.Version() {
			continue
		}
		b.table.Store(table)
		b.applied(table)
		event.TableApplied.Log(b.logger, table.Version(), table.RouteCount())
	}
}

// CaughtUp notes that the configuration was the newest one at an instant.
func (b *configView) CaughtUp(asked boottime.Instant) {
	if int64(asked) > b.confirmed.Load() { // Another router may confirm an earlier instant than the store did.
		b.confirmed.Store(int64(asked))
	}
	if b.lost {
		b.lost = false
		event.StoreUp.Log(b.logger, "config")
	}
}

// Failed notes that the store did not answer.
func (b *configView) Failed(_ time.Time, err error) {
	if !b.lost {
		b.lost = true
		event.StoreDown.Log(b.logger, "config", err, b.age().Milliseconds())
	}
}
