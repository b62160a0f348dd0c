package keyed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/keyed"
)

// apply keeps the newest values of a reader.
func apply(values map[string]string, records []keyed.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(values, record.Key)
		} else {
			values[record.Key] = string(record.Value)
		}
	}
}

// TestMemory guards against readers that lose a record or keep a removed one because they read through a memory: whatever
// they have read, another read brings them to the state of the topic.
func TestMemory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	memory, truth := keyed.NewCache(), make(map[string]string)
	_, known := memory.Newest()
	qt.Assert(t, known, qt.IsFalse)
	memory.Reset(keyed.Page{NextOffset: 10}, 1)
	type reader struct {
		next   uint64
		values map[string]string
	}
	readers := []*reader{{10, map[string]string{}}, {10, map[string]string{}}, {10, map[string]string{}}}
	for next := uint64(10); next < 3000; next++ {
		record := keyed.Record{Key: fmt.Sprint(random.IntN(40)), Offset: next}
		if random.IntN(3) > 0 {
			record.Value = fmt.Append(nil, next)
		}
		apply(truth, []keyed.Record{record})
		memory.Apply(keyed.Page{Records: []keyed.Record{record}, NextOffset: next + 1}, boottime.Instant(next))
		each := readers[random.IntN(len(readers))]
		page, known := memory.ChangesSince(each.next)
		qt.Assert(t, known, qt.IsTrue)
		apply(each.values, page.Records)
		each.next = page.NextOffset
		qt.Assert(t, each.values, qt.DeepEquals, truth)
	}
	page, _ := memory.Newest()
	values := make(map[string]string)
	apply(values, page.Records)
	qt.Check(t, values, qt.DeepEquals, truth)
	qt.Check(t, memory.CompleteAsOf(), qt.Equals, boottime.Instant(2999))
	_, known = memory.ChangesSince(9)
	qt.Check(t, known, qt.IsFalse)
}

// TestForget guards against a memory that grows with the removed keys, and against one that answers for what it forgot.
func TestForget(t *testing.T) {
	memory := keyed.NewCache()
	memory.Reset(keyed.Page{}, 1)
	next := uint64(0)
	for ; next < 5000; next++ {
		record := keyed.Record{Key: fmt.Sprint(next), Offset: next}
		memory.Apply(keyed.Page{Records: []keyed.Record{record}, NextOffset: next + 1}, 1)
	}
	_, known := memory.ChangesSince(100)
	qt.Check(t, known, qt.IsFalse)
	page, known := memory.ChangesSince(4500)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, page.Records, qt.HasLen, 500)
}
