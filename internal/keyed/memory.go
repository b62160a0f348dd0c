package keyed

import (
	"cmp"
	"slices"

	"github.com/chicorydale/chicorydale/internal/boottime"
)

// manyRemoved is the number of removed keys from which all of them are forgotten.
const manyRemoved = 4096

// Cache holds the newest record of every key of a topic, so that a router can answer others for the store. It is not safe
// for concurrent use.
type Cache struct {
	records map[string]Record
	removed int
	// base is the offset from which all removals are known, next the one after the newest record.
	base, next uint64
	loaded     bool
	confirmed  boottime.Instant
}

// NewCache returns a memory without records.
func NewCache() *Cache { return &Cache{records: make(map[string]Record)} }

// Reset takes the newest records of all keys.
func (m *Cache) Reset(page Page, confirmed boottime.Instant) {
	clear(m.records)
	m.removed, m.base, m.next, m.loaded = 0, page.NextOffset, page.NextOffset, true
	m.confirmed = confirmed
	for _, record := range page.Records {
		if record.Value != nil {
			m.records[record.Key] = record
		}
	}
}

// Apply takes records that were written later, and the instant as of which they are complete.
func (m *Cache) Apply(page Page, confirmed boottime.Instant) {
	for _, record := range page.Records {
		before, known := m.records[record.Key]
		if known && record.Offset < before.Offset {
			continue
		}
		if known && before.Value == nil {
			m.removed--
		}
		if record.Value == nil {
			m.removed++
		}
		m.records[record.Key] = record
	}
	m.next = max(m.next, page.NextOffset)
	m.confirmed = max(m.confirmed, confirmed)
	if m.removed > manyRemoved {
		m.forget()
	}
}

// forget drops what is known of removed keys.
func (m *Cache) forget() {
	for key, record := range m.records {
		if record.Value == nil {
			delete(m.records, key)
		}
	}
	m.removed, m.base = 0, m.next
}

// CompleteAsOf returns the instant as of which the records are complete, zero if there are none yet.
func (m *Cache) CompleteAsOf() boottime.Instant { return m.confirmed }

// NextOffset returns the offset after the newest record.
func (m *Cache) NextOffset() uint64 { return m.next }

// Newest returns the newest record of every key; it reports whether they are known.
func (m *Cache) Newest() (Page, bool) {
	page := Page{NextOffset: m.next}
	for _, record := range m.records {
		if record.Value != nil {
			page.Records = append(page.Records, record)
		}
	}
	sort(page.Records)
	return page, m.loaded
}

// ChangesSince returns the newest of the records from an offset on; it reports whether all of them are known.
func (m *Cache) ChangesSince(from uint64) (Page, bool) {
	page := Page{NextOffset: max(m.next, from)}
	if !m.loaded || from < m.base {
		return page, false
	}
	if from >= m.next {
		return page, true
	}
	for _, record := range m.records {
		if record.Offset >= from {
			page.Records = append(page.Records, record)
		}
	}
	sort(page.Records)
	return page, true
}

// sort sorts records by their place in the topic.
func sort(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
}
