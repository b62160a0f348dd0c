package topiclog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// applyRecords updates the values that a reader holds by key.
func applyRecords(values map[string]string, records []topiclog.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(values, record.Key)
		} else {
			values[record.Key] = string(record.Value)
		}
	}
}

// TestCacheReaders guards against readers of the cache that miss a record or keep a removed key: whichever offset a
// reader has reached, ChangesSince must bring it up to date with the topic.
func TestCacheReaders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cache, want := topiclog.NewCache(), make(map[string]string)
	_, known := cache.Newest()
	qt.Assert(t, known, qt.IsFalse)
	cache.Reset(topiclog.Page{NextOffset: 10}, 1)
	type reader struct {
		next   uint64
		values map[string]string
	}
	readers := []*reader{{10, map[string]string{}}, {10, map[string]string{}}, {10, map[string]string{}}}
	for offset := uint64(10); offset < 3000; offset++ {
		record := topiclog.Record{Key: fmt.Sprint(random.IntN(40)), Offset: offset}
		if random.IntN(3) > 0 {
			record.Value = fmt.Append(nil, offset)
		}
		applyRecords(want, []topiclog.Record{record})
		cache.Apply(topiclog.Page{Records: []topiclog.Record{record}, NextOffset: offset + 1}, boottime.Instant(offset))
		r := readers[random.IntN(len(readers))]
		page, known := cache.ChangesSince(r.next)
		qt.Assert(t, known, qt.IsTrue)
		applyRecords(r.values, page.Records)
		r.next = page.NextOffset
		qt.Assert(t, r.values, qt.DeepEquals, want)
	}
	page, _ := cache.Newest()
	values := make(map[string]string)
	applyRecords(values, page.Records)
	qt.Check(t, values, qt.DeepEquals, want)
	qt.Check(t, cache.CompleteAsOf(), qt.Equals, boottime.Instant(2999))
	_, known = cache.ChangesSince(9)
	qt.Check(t, known, qt.IsFalse)
}

// TestCacheDropsTombstones guards against a cache that keeps a tombstone of every removed key forever, and against reporting
// changes as known although their tombstones were dropped.
func TestCacheDropsTombstones(t *testing.T) {
	cache := topiclog.NewCache()
	cache.Reset(topiclog.Page{}, 1)
	offset := uint64(0)
	for ; offset < 5000; offset++ {
		record := topiclog.Record{Key: fmt.Sprint(offset), Offset: offset}
		cache.Apply(topiclog.Page{Records: []topiclog.Record{record}, NextOffset: offset + 1}, 1)
	}
	_, known := cache.ChangesSince(100)
	qt.Check(t, known, qt.IsFalse)
	page, known := cache.ChangesSince(4500)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, page.Records, qt.HasLen, 500)
}

// TestPartialPageDoesNotRefreshCache guards against a router that tells its peers that its records are complete as of a read that the store
// has cut short.
func TestPartialPageDoesNotRefreshCache(t *testing.T) {
	cache := topiclog.NewCache()
	cache.Reset(topiclog.Page{NextOffset: 5}, 10)
	cache.Apply(topiclog.Page{Records: []topiclog.Record{{Key: "a", Value: []byte("x"), Offset: 5}}, NextOffset: 6, Partial: true}, 20)
	qt.Check(t, cache.CompleteAsOf(), qt.Equals, boottime.Instant(10))
	qt.Check(t, cache.NextOffset(), qt.Equals, uint64(6))
	cache.Apply(topiclog.Page{NextOffset: 6}, 30)
	qt.Check(t, cache.CompleteAsOf(), qt.Equals, boottime.Instant(30))
}
