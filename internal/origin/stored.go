package origin

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// maxStoredBatch limits the number of streams in one record of the store.
const maxStoredBatch = 8000

// Batch holds streams whose origins the store should hold.
type Batch struct {
	groups map[Origin]*fleetpb.StoredOriginGroup
	// expiries holds the expiry of each stream.
	expiries map[StreamID]time.Time
}

// Record returns the batch as a record of the store. It is nil if the batch is empty.
func (b Batch) Record() *fleetpb.StoredOrigins {
	if len(b.groups) == 0 {
		return nil
	}
	record := new(fleetpb.StoredOrigins)
	for _, group := range b.groups {
		record.Groups = append(record.Groups, group)
	}
	return record
}

// Begin records that the caller of a stream of this router is about to get a part of it.
func (d *Directory) Begin(stream StreamID) {
	if begun, found := d.entries[stream]; found {
		begun.hasBegun = true
		d.entries[stream] = begun
	}
}

// IsSaved reports whether the store holds a stream until its expiry.
func (d *Directory) IsSaved(stream StreamID) bool { return d.entries[stream].isSaved() }

// Unsaved returns the streams of this router that have begun and that the store does not hold until their expiry, of the services that
// isShared selects, without those that are being saved.
func (d *Directory) Unsaved(now time.Time, isShared func(service string) bool) Batch {
	batch := Batch{groups: make(map[Origin]*fleetpb.StoredOriginGroup), expiries: make(map[StreamID]time.Time)}
	for stream, known := range d.entries {
		if !known.isOwn || !known.hasBegun || known.isSaved() || known.isBeingSaved || !now.Before(known.expiresAt) ||
			!isShared(known.origin.Service) {
			continue
		}
		if len(batch.expiries) == maxStoredBatch {
			break
		}
		batch.add(stream, known)
	}
	return batch
}

// add adds a stream to the batch.
func (b Batch) add(stream StreamID, known entry) {
	group := b.groups[known.origin]
	if group == nil {
		group = &fleetpb.StoredOriginGroup{Service: known.origin.Service, Build: known.origin.Build}
		b.groups[known.origin] = group
	}
	group.ExpiresAtMs = max(group.GetExpiresAtMs(), known.expiresAt.UnixMilli())
	group.Streams = append(group.Streams, uint64(stream))
	b.expiries[stream] = known.expiresAt
}

// Saving records that a batch is being written to the store.
func (d *Directory) Saving(batch Batch) {
	d.update(batch, func(saving entry, _ time.Time) entry {
		saving.isBeingSaved = true
		return saving
	})
}

// Saved records that the store holds a batch.
func (d *Directory) Saved(batch Batch) {
	d.update(batch, func(saved entry, expiresAt time.Time) entry {
		saved.savedUntil, saved.isBeingSaved = expiresAt, false
		return saved
	})
}

// NotSaved records that a write of a batch has failed.
func (d *Directory) NotSaved(batch Batch) {
	d.update(batch, func(failed entry, _ time.Time) entry {
		failed.isBeingSaved = false
		return failed
	})
}

// update changes the entries of a batch that are still remembered. change gets an entry and the expiry that it has in the batch.
func (d *Directory) update(batch Batch, change func(known entry, expiresAt time.Time) entry) {
	for stream, expiresAt := range batch.expiries {
		if known, found := d.entries[stream]; found {
			d.entries[stream] = change(known, expiresAt)
		}
	}
}

// Unsave records that the store may have lost all batches.
func (d *Directory) Unsave() {
	for stream, known := range d.entries {
		known.savedUntil = time.Time{}
		d.entries[stream] = known
	}
}

// ReceiveStored adds the streams of a record of the store that this router does not know. It returns the number of invalid groups, which
// are dropped.
func (d *Directory) ReceiveStored(now time.Time, record *fleetpb.StoredOrigins) (invalid int) {
	for _, group := range record.GetGroups() {
		if !areValidNames(group.GetService(), group.GetBuild()) {
			invalid++
			continue
		}
		expiresAt := time.UnixMilli(group.GetExpiresAtMs())
		if latest := now.Add(maxLifetime); expiresAt.After(latest) {
			expiresAt = latest
		}
		for _, stream := range group.GetStreams() {
			d.addStored(now, StreamID(stream), entry{
				origin: Origin{Service: group.GetService(), Build: group.GetBuild()}, expiresAt: expiresAt,
			})
		}
	}
	return invalid
}

// addStored adds an entry of the store unless it has expired or the stream is known until later.
func (d *Directory) addStored(now time.Time, stream StreamID, stored entry) {
	known, found := d.entries[stream]
	if !now.Before(stored.expiresAt) || found && (known.isOwn || !stored.expiresAt.After(known.expiresAt)) {
		return
	}
	stored.spent = known.spent
	d.put(stream, stored)
}
