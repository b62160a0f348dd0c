package topiclog

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

// maxTombstones is the number of tombstones beyond which all of them are dropped, so that the cache does not grow forever.
const maxTombstones = 4096

// Cache holds the newest record of every key of a topic, so that a router can serve the topic to other routers in place of the
// store. Removed keys are kept as tombstones, records without a value, so that readers learn of removals. A Cache is not safe for
// concurrent use.
type Cache struct {
	records    map[string]Record
	tombstones int
	// tombstonesFrom is the offset from which the cache knows all removals. nextOffset is the offset after the newest record.
	tombstonesFrom, nextOffset uint64
	// era is the era of the store in which the records were read.
	era          uint64
	loaded       bool
	completeAsOf boottime.Instant
}

// NewCache returns an empty cache, which is not loaded until Reset is called.
func NewCache() *Cache { return &Cache{records: make(map[string]Record)} }

// Reset replaces the content with the newest record of each key, complete as of an instant.
func (c *Cache) Reset(page Page, asOf boottime.Instant) {
	clear(c.records)
	c.tombstones, c.tombstonesFrom, c.nextOffset, c.loaded = 0, page.NextOffset, page.NextOffset, true
	c.era = max(c.era, page.Era)
	c.completeAsOf = asOf
	for _, record := range page.Records {
		if record.Value != nil {
			c.records[record.Key] = record
		}
	}
}

// Apply adds records that were written later, complete as of an instant unless the page is partial. Records that are older than the cached one are ignored. A page of
// another era of the store is ignored too; if the era is newer, the cache is not loaded until Reset is called.
func (c *Cache) Apply(page Page, asOf boottime.Instant) {
	sameEra := checkEra(c.era, page) == nil
	c.loaded = c.loaded && (sameEra || page.Era < c.era)
	c.era = max(c.era, page.Era)
	if !sameEra {
		return
	}
	for _, record := range page.Records {
		previous, known := c.records[record.Key]
		if known && record.Offset < previous.Offset {
			continue
		}
		if known && previous.Value == nil {
			c.tombstones--
		}
		if record.Value == nil {
			c.tombstones++
		}
		c.records[record.Key] = record
	}
	c.nextOffset = max(c.nextOffset, page.NextOffset)
	if !page.Partial {
		c.completeAsOf = max(c.completeAsOf, asOf)
	}
	if c.tombstones > maxTombstones {
		c.dropTombstones()
	}
}

// dropTombstones drops all tombstones. From then on, the changes since earlier offsets are not known.
func (c *Cache) dropTombstones() {
	for key, record := range c.records {
		if record.Value == nil {
			delete(c.records, key)
		}
	}
	c.tombstones, c.tombstonesFrom = 0, c.nextOffset
}

// CompleteAsOf returns the instant as of which the records are complete, zero if nothing was loaded yet.
func (c *Cache) CompleteAsOf() boottime.Instant { return c.completeAsOf }

// NextOffset returns the offset after the newest record of the topic.
func (c *Cache) NextOffset() uint64 { return c.nextOffset }

// Era returns the era of the store in which the records were read, zero if it is not known.
func (c *Cache) Era() uint64 { return c.era }

// Newest returns the newest record of every key in the order of offsets, without tombstones. It reports whether the cache is
// loaded.
func (c *Cache) Newest() (Page, bool) {
	page := Page{NextOffset: c.nextOffset, Era: c.era}
	for _, record := range c.records {
		if record.Value != nil {
			page.Records = append(page.Records, record)
		}
	}
	sortByOffset(page.Records)
	return page, c.loaded
}

// ChangesSince returns, in the order of offsets, the newest record or tombstone of each key that changed at or after an offset.
// It reports whether all these changes are known; if not, the page holds no records.
func (c *Cache) ChangesSince(from uint64) (Page, bool) {
	page := Page{NextOffset: max(c.nextOffset, from), Era: c.era}
	if !c.loaded || from < c.tombstonesFrom {
		return page, false
	}
	if from >= c.nextOffset {
		return page, true
	}
	for _, record := range c.records {
		if record.Offset >= from {
			page.Records = append(page.Records, record)
		}
	}
	sortByOffset(page.Records)
	return page, true
}

// sortByOffset sorts records by offset, then by key.
func sortByOffset(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
}
